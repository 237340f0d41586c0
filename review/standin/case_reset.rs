//! An upstream answers an upload before it has read it, without a length, and its connection is
//! reset in the middle of the answer.

use std::{
    io::{self, Write},
    net::TcpStream,
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    daemon::{self, EBSA},
    http::{Head, Reader},
    record::Record,
    store::Store,
    upstream::{self, Upstream},
};

/// Uploads sent, one after the other.
const UPLOADS: usize = 24;
/// Size of an upload; the configuration allows 64 MiB.
const UPLOAD_BYTES: usize = 8 << 20;
/// Size of the upstream's whole answer.
const ANSWER_BYTES: usize = 5_000;
/// Part of the answer that is sent before the connection is reset.
const SENT_BYTES: usize = 1_000;

pub fn run(record: &Record, with_trouble: bool) -> Result<usize, String> {
    let store = Store::start();
    let log = record.clone();
    let handler = move |upstream: &Upstream, head: &Head, reader: &mut Reader| {
        serve(upstream, head, reader, &log, with_trouble)
    };
    let handler: Arc<upstream::Handler> = Arc::new(handler);
    for number in 0..3 {
        Upstream::start(&store, "docvault", number, Arc::clone(&handler));
    }
    store.put("keyed.op", "config", &upstream::configuration(7, 3_000));
    let daemons = daemon::start(&store, EBSA, 2)?;
    let mut broken = 0;
    let mut answered = 0;
    for number in 0..UPLOADS {
        let id = format!("upload-{number:02}");
        let daemon = &daemons[number % daemons.len()];
        let (text, is_broken) = match send(daemon.callers, &id) {
            Ok((head, body)) => {
                answered += 1;
                let seal = head.get("x-fireflydrum-upstream-seal").is_some();
                let is_success = (200..300).contains(&head.status());
                let is_whole = body.len() == ANSWER_BYTES;
                let text = format!("{} with {} bytes, seal {seal}", head.first, body.len());
                (text, is_success && !is_whole)
            }
            Err(e) => (format!("no complete answer: {e}"), false),
        };
        let verdict = if is_broken { "  <- MIXED: not the upstream's whole body" } else { "" };
        record.line(&format!("client {id}: {text}{verdict}"));
        broken += usize::from(is_broken);
    }
    if !with_trouble && answered < UPLOADS {
        return Err("not every upload was answered without trouble".to_owned());
    }
    Ok(broken)
}

fn serve(
    upstream: &Upstream,
    head: &Head,
    reader: &mut Reader,
    record: &Record,
    with_trouble: bool,
) -> io::Result<bool> {
    let id = upstream.begin(head);
    let text = format!(
        "HTTP/1.1 200 OK\r\nX-Fireflydrum-Request-Id: {id}\r\nX-Fireflydrum-Upstream-Seal: \
         seal-{id}\r\nX-Fireflydrum-Upstream-Load: 1,0,6,100\r\nConnection: close\r\n\r\n"
    );
    reader.stream.write_all(text.as_bytes())?;
    reader.stream.write_all(&[b'x'; SENT_BYTES])?;
    thread::sleep(Duration::from_millis(100));
    if with_trouble {
        record.line(&format!(
            "upstream {}: ran {id}, sent {SENT_BYTES} of {ANSWER_BYTES} bytes, reset",
            upstream.id
        ));
        // Closing a socket with unread bytes resets the connection.
        return Ok(false);
    }
    reader.stream.write_all(&[b'x'; ANSWER_BYTES - SENT_BYTES])?;
    reader.body(head.length().unwrap_or(0))?;
    record.line(&format!("upstream {}: ran {id}, sent all {ANSWER_BYTES} bytes", upstream.id));
    Ok(false)
}

fn send(address: std::net::SocketAddr, id: &str) -> io::Result<(Head, Vec<u8>)> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let mut writer = stream.try_clone()?;
    let request = format!(
        "POST /upload/a HTTP/1.1\r\nHost: hulo84.example\r\nX-Fireflydrum-Request-Id: {id}\r\n\
         X-Fireflydrum-Deadline-Ms: 3000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    writer.write_all(request.as_bytes())?;
    writer.write_all(&vec![b'c'; UPLOAD_BYTES])?;
    let mut reader = Reader::new(stream);
    let head = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let length = head.length().ok_or(io::ErrorKind::InvalidData)?;
    let body = reader.body(length)?;
    Ok((head, body))
}

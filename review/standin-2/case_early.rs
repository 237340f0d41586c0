//! An upstream that answers an upload before it has read it, and reads on later.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::Duration,
};

use crate::{
    daemon::Bounds,
    fleet,
    http::{Connection, Head},
    record::Record,
    store::Store,
    upstream::{Handler, Upstream},
};

/// Bytes that the upstream reads before it answers.
const FIRST: usize = 64 << 10;
/// Sizes of uploads, and the time after its answer at which the upstream reads on.
const UPLOADS: [(usize, Duration); 4] = [
    (360_000, Duration::from_millis(4_000)),
    (360_000, Duration::from_millis(4_000)),
    (16 << 20, Duration::from_millis(300)),
    (16 << 20, Duration::from_millis(300)),
];
const DEADLINE_MS: u64 = 15_000;

pub fn run(
    program: &Path,
    temporary: &Path,
    record: &Arc<Record>,
    trouble: bool,
) -> io::Result<i32> {
    let bounds =
        Bounds { drain_ms: "2000", config_apply_ms: "2000", grace_s: "6", memory_mb: "650" };
    let store = Store::start()?;
    let (sender, received) = mpsc::channel();
    let handler = handler(sender, Arc::clone(record), trouble);
    for it in 0..2 {
        Upstream::start(
            &store,
            1,
            &format!("i-{it}"),
            "docvault",
            "zone-a",
            6,
            Arc::clone(&handler),
        )?;
    }
    store.put("keyed.op", "config", Some(&fleet::config(7, "docvault", "upload", 15_000)));
    let daemons = fleet::start(program, temporary, &store, 2, &bounds)?;
    let Some(daemons) = daemons else { return Ok(2) };
    let mut cut = 0;
    for (number, (size, _)) in UPLOADS.into_iter().enumerate() {
        let status = send(daemons[0].addresses.caller, number, size, record)?;
        let count = received.recv_timeout(Duration::from_secs(10)).unwrap_or(0);
        cut += u32::from(status == 200 && count < size);
    }
    record.line(&format!(
        "{cut} of {} uploads ended with success and a body cut short",
        UPLOADS.len()
    ));
    Ok(i32::from(cut > 0))
}

/// Sends the number of body bytes that the upstream got of each request.
fn handler(sender: mpsc::Sender<usize>, record: Arc<Record>, trouble: bool) -> Arc<Handler> {
    let sender = Mutex::new(sender);
    Arc::new(move |upstream: &Upstream, connection: &mut Connection, head: &Head| {
        let length = head.length().unwrap_or(0);
        let id = head.get("x-fireflydrum-request-id").unwrap_or_default();
        let mut count = connection.body(length.min(FIRST))?.len();
        record.line(&format!("upstream {} runs {id}, has {count} of {length} bytes", upstream.id));
        let answer = format!("{}done", upstream.answer_head(head, "200 OK", 4));
        if trouble {
            connection.write(answer.as_bytes())?;
            record
                .line(&format!("upstream {} answers {id} with 200 and will read on", upstream.id));
            let pause = UPLOADS.iter().find(|(size, _)| *size == length).map(|(_, it)| *it);
            thread::sleep(pause.unwrap_or_default());
        }
        let mut outcome = "whole".to_owned();
        while count < length {
            match connection.body((length - count).min(FIRST)) {
                Ok(it) => count += it.len(),
                Err(e) => {
                    count += connection.ahead();
                    outcome = format!("cut short: {e}");
                    break;
                }
            }
        }
        record.line(&format!(
            "upstream {}: {count} of {length} bytes of {id}: {outcome}",
            upstream.id
        ));
        if !trouble {
            connection.write(answer.as_bytes())?;
        }
        let _ = sender.lock().unwrap().send(count);
        Ok(count == length)
    })
}

/// Uploads `size` bytes; returns the status of the answer.
fn send(caller: SocketAddr, number: usize, size: usize, record: &Record) -> io::Result<u16> {
    let mut connection = Connection::new(TcpStream::connect(caller)?);
    connection.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let id = format!("9c41d07be2a35f6{number}");
    let text = format!(
        "POST /a/{number} HTTP/1.1\r\nHost: a.example\r\nX-Fireflydrum-Request-Id: {id}\r\n\
         X-Fireflydrum-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {size}\r\n\r\n"
    );
    connection.write(text.as_bytes())?;
    connection.write(&vec![b'x'; size])?;
    record.line(&format!("client has sent {id}, {size} bytes"));
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    connection.body(head.length().unwrap_or(0))?;
    let seal = head.get("x-fireflydrum-upstream-seal").unwrap_or("none");
    record.line(&format!("client got {} seal={seal} for {id}", head.status()));
    Ok(head.status())
}

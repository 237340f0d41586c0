//! A planned stop of a daemon; shortly before it closes its port it accepts requests that take
//! longer than it goes on running.

use std::{
    collections::BTreeSet,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    daemon::{self, EBSA_GROWN},
    http::{Head, Reader},
    record::Record,
    store::Store,
    upstream::{self, Upstream},
};

/// Requests that are sent one after the other, on a new connection each.
const REQUESTS: usize = 4;
/// When the first is sent after the signal, and the interval between them.
const FIRST_AT: Duration = Duration::from_millis(3_100);
const INTERVAL: Duration = Duration::from_millis(80);
/// Longest work of a `bulk-order`.
const WORK: Duration = Duration::from_millis(2_700);
/// Factor of `ttl_s` for which some clients keep an answer of the directory.
const TTL_FACTOR: f64 = 3.0;

pub fn run(record: &Record, with_trouble: bool) -> Result<usize, String> {
    let store = Store::start();
    let log = record.clone();
    let handler = move |upstream: &Upstream, head: &Head, reader: &mut Reader| {
        let id = head.get("x-fireflydrum-request-id").unwrap_or("").to_owned();
        let left = head.get("x-fireflydrum-deadline-ms").unwrap_or("none").to_owned();
        log.line(&format!("upstream {}: begins {id}, has {left} ms", upstream.id));
        let kept = upstream::work(upstream, head, reader, WORK, 400);
        let result = if kept.is_ok() { "answered" } else { "could not answer" };
        log.line(&format!("upstream {}: {result} {id}", upstream.id));
        kept
    };
    let handler: Arc<upstream::Handler> = Arc::new(handler);
    let upstreams: Vec<_> = (0..4)
        .map(|it| Upstream::start(&store, "orderbook", it, Arc::clone(&handler)))
        .collect();
    store.put("keyed.op", "config", &upstream::configuration(7, 5_000));
    let mut daemons = daemon::start(&store, EBSA_GROWN, 2)?;
    let (directory, ttl_s) = daemons[1].resolve().ok_or("no answer of the directory")?;
    let resolved = Instant::now();
    record.line(&format!("clients: directory answers {directory}"));
    let address = daemons[0].callers;
    if !directory.contains(&address.to_string()) {
        return Err("the directory does not list the daemon".to_owned());
    }
    let started = Instant::now();
    if with_trouble {
        record.line("platform: SIGTERM to the first daemon");
        daemons[0].terminate();
    }
    thread::sleep(FIRST_AT);
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        if resolved.elapsed() > Duration::from_secs_f64(ttl_s * TTL_FACTOR) {
            return Err("the directory's answer has lapsed".to_owned());
        }
        let (id, record) = (format!("order-{number}"), record.clone());
        clients.push(thread::spawn(move || {
            let sent = started.elapsed().as_secs_f64();
            let res = send(address, &id);
            let ended = started.elapsed().as_secs_f64();
            let text = match &res {
                Ok(head) => format!("got {}", head.first),
                Err(e) => format!("got no answer: {e}"),
            };
            record.line(&format!(
                "client {id}: sent {sent:.3} s after the signal, {text} after {ended:.3} s"
            ));
            (id, sent, res.is_ok())
        }));
        thread::sleep(INTERVAL);
    }
    let mut results = Vec::new();
    for it in clients {
        results.push(it.join().map_err(|_| "a client failed")?);
    }
    if with_trouble {
        let grace = Duration::from_secs(u64::from(EBSA_GROWN.grace_s));
        thread::sleep(grace.saturating_sub(started.elapsed()));
        let ended = daemons.remove(0).end();
        record.line(&format!("platform: daemon has ended at the end of the grace period: {ended}"));
    }
    let run: BTreeSet<_> =
        upstreams.iter().flat_map(|it| it.run.lock().unwrap().clone()).collect();
    let mut broken = 0;
    for (id, sent, is_answered) in results {
        if is_answered {
            continue;
        }
        if !with_trouble {
            return Err("not every request was answered without trouble".to_owned());
        }
        // Excused is what was sent within 3 s of the signal and still ran in the last second. A
        // connection that the daemon has not accepted is no request that it has read.
        if sent > 3.0 && run.contains(&id) {
            broken += 1;
            record.line(&format!("client {id}: was passed on and got no answer  <- LOST"));
        }
    }
    Ok(broken)
}

fn send(address: SocketAddr, id: &str) -> io::Result<Head> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut writer = stream.try_clone()?;
    let request = format!(
        "POST /order/a HTTP/1.1\r\nHost: hulo84.example\r\nX-Fireflydrum-Request-Id: {id}\r\n\
         X-Fireflydrum-Deadline-Ms: 10000\r\nContent-Length: 300\r\n\r\n{}",
        "c".repeat(300)
    );
    writer.write_all(request.as_bytes())?;
    let mut reader = Reader::new(stream);
    let head = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    reader.body(head.length().ok_or(io::ErrorKind::InvalidData)?)?;
    Ok(head)
}

//! A planned stop of a daemon while callers send further idempotent requests on their connections
//! before the first has been answered.

use std::{
    collections::BTreeSet,
    io::Write,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    daemon::{self, EBSA},
    http::{Head, Reader},
    record::Record,
    store::Store,
    upstream::{self, Upstream},
};

/// Clients, each with one connection to the daemon that stops.
const CLIENTS: usize = 4;
/// Interval at which a client sends requests.
const INTERVAL: Duration = Duration::from_millis(40);
/// Mean work of a `stock-check`.
const WORK: Duration = Duration::from_millis(120);
/// Factor of `ttl_s` for which some clients keep an answer of the directory.
const TTL_FACTOR: f64 = 3.0;

/// What became of a client's connection.
struct Outcome {
    sent: Vec<(String, Instant)>,
    answered: BTreeSet<String>,
    /// Whether the daemon announced the end of the connection in an answer.
    was_announced: bool,
    ended: Instant,
}

pub fn run(record: &Record, with_trouble: bool) -> Result<usize, String> {
    let store = Store::start();
    let log = record.clone();
    let handler = move |upstream: &Upstream, head: &Head, reader: &mut Reader| {
        let id = head.get("x-fireflydrum-request-id").unwrap_or("").to_owned();
        log.line(&format!("upstream {}: begins {id}", upstream.id));
        let kept = upstream::work(upstream, head, reader, WORK, 400);
        let result = if kept.is_ok() { "answered" } else { "could not answer" };
        log.line(&format!("upstream {}: {result} {id}", upstream.id));
        kept
    };
    let handler: Arc<upstream::Handler> = Arc::new(handler);
    let upstreams: Vec<_> = (0..6)
        .map(|it| Upstream::start(&store, "stockdesk", it, Arc::clone(&handler)))
        .collect();
    store.put("keyed.op", "config", &upstream::configuration(7, 1_200));
    let mut daemons = daemon::start(&store, EBSA, 2)?;
    let (directory, ttl_s) = daemons[1].resolve().ok_or("no answer of the directory")?;
    record.line(&format!("clients: directory answers {directory}"));
    if !directory.contains(&daemons[0].callers.to_string()) {
        return Err("the directory does not list the daemon".to_owned());
    }
    let kept_until = Instant::now() + Duration::from_secs_f64(ttl_s * TTL_FACTOR);
    let has_lapsed = Arc::new(AtomicBool::new(false));
    let address = daemons[0].callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, has_lapsed) = (record.clone(), Arc::clone(&has_lapsed));
            thread::spawn(move || client(number, address, &record, &has_lapsed))
        })
        .collect();
    thread::sleep(Duration::from_millis(100));
    let stopped = Instant::now();
    if with_trouble {
        record.line("platform: SIGTERM to the first daemon");
        daemons[0].terminate();
    }
    while Instant::now() < kept_until {
        thread::sleep(Duration::from_millis(10));
    }
    // The clients' answer of the directory has lapsed: they send nothing more to this daemon.
    has_lapsed.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(500));
    if with_trouble {
        let grace_left = Duration::from_secs(u64::from(EBSA.grace_s))
            .saturating_sub(stopped.elapsed());
        thread::sleep(grace_left);
        let ended = daemons.remove(0).end();
        record.line(&format!("platform: daemon has ended at the end of the grace period: {ended}"));
    }
    let run: BTreeSet<_> =
        upstreams.iter().flat_map(|it| it.run.lock().unwrap().clone()).collect();
    let mut broken = 0;
    for (number, it) in clients.into_iter().enumerate() {
        let outcome = it.join().map_err(|_| "a client failed")?;
        let late = outcome.ended.saturating_duration_since(stopped).as_secs_f64();
        record.line(&format!(
            "client {number}: sent {}, answered {}, end announced {}, connection ended {late:.3} s \
             after the signal",
            outcome.sent.len(),
            outcome.answered.len(),
            outcome.was_announced,
        ));
        if outcome.was_announced {
            // What was sent behind the answer that closes the connection counts as not read.
            continue;
        }
        for (id, at) in &outcome.sent {
            let sent_after = at.saturating_duration_since(stopped).as_secs_f64();
            // Excused is what was sent within 3 s of the signal and still ran in the last second.
            let is_excused = !with_trouble || sent_after <= 3.0;
            if !outcome.answered.contains(id) && run.contains(id) && !is_excused {
                broken += 1;
                record.line(&format!(
                    "client {number}: {id}, sent {sent_after:.3} s after the signal, was passed on \
                     and got no answer  <- LOST"
                ));
            }
        }
        if !with_trouble && outcome.answered.len() < outcome.sent.len() {
            return Err("not every request was answered without trouble".to_owned());
        }
    }
    Ok(broken)
}

fn client(
    number: usize,
    address: SocketAddr,
    record: &Record,
    has_lapsed: &Arc<AtomicBool>,
) -> Outcome {
    let stream = TcpStream::connect(address).expect("a connection to the daemon");
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().expect("a second handle");
    let sent = Arc::new(Mutex::new(Vec::new()));
    let is_closed = Arc::new(AtomicBool::new(false));
    let sender = {
        let (sent, is_closed) = (Arc::clone(&sent), Arc::clone(&is_closed));
        let has_lapsed = Arc::clone(has_lapsed);
        thread::spawn(move || {
            for count in 0.. {
                if is_closed.load(Ordering::Relaxed) || has_lapsed.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("stock-{number}-{count:03}");
                let request = format!(
                    "GET /stock/{count} HTTP/1.1\r\nHost: hulo84.example\r\n\
                     X-Fireflydrum-Request-Id: {id}\r\nX-Fireflydrum-Deadline-Ms: 2500\r\n\r\n"
                );
                if writer.write_all(request.as_bytes()).is_err() {
                    break;
                }
                sent.lock().unwrap().push((id, Instant::now()));
                thread::sleep(INTERVAL);
            }
            // Answers to what was sent are still read.
            thread::sleep(Duration::from_millis(400));
            let _ = writer.shutdown(Shutdown::Both);
        })
    };
    let mut reader = Reader::new(stream);
    let mut answered = BTreeSet::new();
    let mut was_announced = false;
    while let Ok(Some(head)) = reader.head() {
        let Some(length) = head.length() else { break };
        if reader.body(length).is_err() {
            break;
        }
        let id = head.get("x-fireflydrum-request-id").unwrap_or("").to_owned();
        record.line(&format!("client {number}: {id} got {}", head.first));
        answered.insert(id);
        if head.closes() {
            was_announced = true;
            break;
        }
    }
    let ended = Instant::now();
    is_closed.store(true, Ordering::Relaxed);
    let _ = sender.join();
    let sent = sent.lock().unwrap().clone();
    Outcome { sent, answered, was_announced, ended }
}

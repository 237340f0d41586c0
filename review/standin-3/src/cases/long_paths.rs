//! Some clients send requests with long paths at once, all within the limits of the configuration.

use std::{
    io::Write,
    net::TcpStream,
    sync::atomic::{AtomicUsize, Ordering},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use super::{HOST, Outcome, PROGRAM, Route, config};
use crate::{
    daemon::{Daemon, Settings},
    heartbeat::Heartbeat,
    http,
    record::Record,
    store::{OPERATOR, Store},
    upstream::Upstream,
};

/// Clients that press, and the requests that each sends before the first is answered.
const CLIENTS: usize = 40;
const REQUESTS: usize = 16;
/// Length of a path; `max_header_bytes` is 16,384 for the whole head.
const PATH_BYTES: usize = 16_000;
/// Requests of an ordinary client, and the time between two of them.
const ORDINARY: usize = 24;
const INTERVAL: Duration = Duration::from_millis(250);
/// `timeout_ms` of the route, and the time that the rule adds.
const TIMEOUT: Duration = Duration::from_secs(3);
const LATER: Duration = Duration::from_millis(500);

fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Fireflydrum-Request-Id: {id}\r\n\
         X-Fireflydrum-Deadline-Ms: 8000\r\n\r\n"
    )
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::default();
    let upstream = Upstream::start(record, "i-1", "stock", 1_000, Duration::from_millis(20), true);
    let _heartbeat = Heartbeat::start(record, &store, &upstream);
    let routes = [Route { prefix: "/stock/", kind: "safe", service: "stock" }];
    store.put(OPERATOR, "config", &config(1, &["stock"], &routes));
    let daemon = Daemon::start(record, PROGRAM, Settings::new("edge-1", store.listen().address))?;
    let caller = daemon.settings.caller;
    let call = |id: &str| http::call(caller, &request("/stock/1", id), TIMEOUT + LATER);
    if call("before").map(|it| it.status()) != Ok(200) {
        return Err("the route is not served before the disruption".to_owned());
    }
    let path = if has_trouble { "/".repeat(PATH_BYTES) } else { "/none/".to_owned() };
    let mut pressing = Vec::new();
    for client in 0..CLIENTS {
        let mut stream = TcpStream::connect(caller).map_err(|e| e.to_string())?;
        let requests: String =
            (0..REQUESTS).map(|it| request(&path, &format!("long-{client}-{it}"))).collect();
        stream.write_all(requests.as_bytes()).map_err(|e| e.to_string())?;
        pressing.push(stream);
    }
    record.line(&format!(
        "{CLIENTS} clients have sent {REQUESTS} requests each, with paths of {} bytes",
        path.len()
    ));
    let (late, unanswered) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for number in 0..ORDINARY {
            let (call, late, unanswered) = (&call, &late, &unanswered);
            scope.spawn(move || {
                let id = format!("ordinary-{number}");
                record.line(&format!("client sends {id}"));
                let started = Instant::now();
                let res = call(&id);
                let took = started.elapsed();
                late.fetch_add(usize::from(took >= TIMEOUT), Ordering::SeqCst);
                unanswered.fetch_add(usize::from(res.is_err()), Ordering::SeqCst);
                let text = res.map_or_else(|e| e, |it| it.start);
                record.line(&format!("client gets for {id} after {took:?}: {text}"));
            });
            sleep(INTERVAL);
        }
    });
    let (late, unanswered) = (late.into_inner(), unanswered.into_inner());
    record
        .line(&format!("{late} of {ORDINARY} unanswered at timeout_ms, {unanswered} 0.5 s later"));
    let started = Instant::now();
    while !daemon.is_ready() && started.elapsed() < Duration::from_secs(60) {
        record.line("the platform's check of readiness gets no 200 within 1 s");
    }
    record.line("the daemon is ready again");
    let broken = late > 0 && unanswered * 2 > late;
    let text =
        format!("CONFIG: {unanswered} of {late} requests have no answer 0.5 s past timeout_ms");
    Ok(if broken { vec![text] } else { Vec::new() })
}

//! A planned stop while an upstream works on a request.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    daemon::Bounds,
    fleet,
    http::{Connection, Head},
    record::Record,
    store::Store,
    upstream::{Handler, Upstream},
};

/// Time by which the timer fires late with which an upstream stops at its deadline.
const TIMER_LATENESS: Duration = Duration::from_millis(20);
/// Bytes of a body that an upstream reads before it begins to work.
const FIRST: usize = 64 << 10;

/// A request that meets the stop.
struct Setup {
    bounds: Bounds,
    /// Kind of the route.
    kind: &'static str,
    /// Size of the request's body.
    size: usize,
    deadline_ms: u64,
    /// Timeout of the route.
    timeout_ms: u32,
    /// Time for which the upstream works, in the trouble and without it.
    work: [Duration; 2],
    /// When the request is sent, from the signal on.
    sent: Sent,
}

enum Sent {
    Before(Duration),
    After(Duration),
}

/// A long upload: the upstream reads a part of it, works, and reads on.
pub fn upload(
    program: &Path,
    temporary: &Path,
    record: &Arc<Record>,
    trouble: bool,
) -> io::Result<i32> {
    let setup = Setup {
        bounds: Bounds {
            drain_ms: "2500",
            config_apply_ms: "2500",
            grace_s: "6",
            memory_mb: "512",
        },
        kind: "upload",
        size: 16 << 20,
        deadline_ms: 15_000,
        timeout_ms: 15_000,
        work: [Duration::from_millis(3_800), Duration::from_millis(600)],
        sent: Sent::Before(Duration::from_millis(500)),
    };
    run(&setup, program, temporary, record, trouble)
}

/// An order that arrives more than 3 s after the signal.
pub fn late_order(
    program: &Path,
    temporary: &Path,
    record: &Arc<Record>,
    trouble: bool,
) -> io::Result<i32> {
    let setup = Setup {
        bounds: Bounds {
            drain_ms: "3000",
            config_apply_ms: "3000",
            grace_s: "10",
            memory_mb: "512",
        },
        kind: "unsafe",
        size: 300,
        deadline_ms: 15_000,
        timeout_ms: 8_000,
        work: [Duration::from_millis(6_600), Duration::from_millis(600)],
        sent: Sent::After(Duration::from_millis(3_200)),
    };
    run(&setup, program, temporary, record, trouble)
}

fn run(
    setup: &Setup,
    program: &Path,
    temporary: &Path,
    record: &Arc<Record>,
    trouble: bool,
) -> io::Result<i32> {
    let store = Store::start()?;
    let runs = Arc::new(AtomicU64::new(0));
    let handler = handler(setup.work[usize::from(!trouble)], Arc::clone(&runs), Arc::clone(record));
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
    store.put(
        "keyed.op",
        "config",
        Some(&fleet::config(7, "docvault", setup.kind, setup.timeout_ms)),
    );
    let daemons = fleet::start(program, temporary, &store, 2, &setup.bounds)?;
    let Some(daemons) = daemons else { return Ok(2) };
    let caller = daemons[0].addresses.caller;
    let (size, deadline_ms, log) = (setup.size, setup.deadline_ms, Arc::clone(record));
    let send = move || send(caller, size, deadline_ms, &log);
    let stop = || record.line(&format!("SIGTERM to host-0, sent: {}", daemons[0].signal("TERM")));
    let answer = match setup.sent {
        Sent::Before(time) => {
            let sending = thread::spawn(send);
            thread::sleep(time);
            stop();
            sending.join().unwrap()
        }
        Sent::After(time) => {
            stop();
            thread::sleep(time);
            send()
        }
    };
    if !matches!(answer, Ok((200, _))) {
        // The record then also shows how the upstream goes on.
        thread::sleep(Duration::from_secs(2));
    }
    let runs = runs.load(Ordering::SeqCst);
    let (status, is_sealed) = answer.unwrap_or_else(|e| {
        record.line(&format!("client got no complete answer: {e}"));
        (0, false)
    });
    // A refusal of a request that no upstream got is a complete answer.
    let is_broken = runs > 0 && !is_sealed;
    record.line(&format!(
        "runs={runs} status={status} made by {}: LOST {}",
        if is_sealed { "the upstream" } else { "the daemon" },
        if is_broken { "broken" } else { "kept" }
    ));
    Ok(i32::from(is_broken))
}

fn handler(work: Duration, runs: Arc<AtomicU64>, record: Arc<Record>) -> Arc<Handler> {
    Arc::new(move |upstream: &Upstream, connection: &mut Connection, head: &Head| {
        let length = head.length().unwrap_or(0);
        let first = connection.body(length.min(FIRST))?.len();
        let id = head.get("x-fireflydrum-request-id").unwrap_or_default();
        let deadline_ms = head.get("x-fireflydrum-deadline-ms").unwrap_or("15000");
        let until = Instant::now() + Duration::from_millis(deadline_ms.parse().unwrap_or(15_000));
        runs.fetch_add(1, Ordering::SeqCst);
        record.line(&format!("upstream {} runs {id}, deadline_ms={deadline_ms}", upstream.id));
        let (done, stopped) = (Instant::now() + work, until + TIMER_LATENESS);
        thread::sleep(done.min(stopped).saturating_duration_since(Instant::now()));
        if stopped < done {
            record.line(&format!("upstream {} stops {id} at its deadline", upstream.id));
            let text = upstream.answer_head(head, "504 Gateway Timeout", 0);
            connection.write(text.as_bytes())?;
            return Ok(false);
        }
        record.line(&format!("upstream {} has done its work on {id}", upstream.id));
        let rest = connection.body(length - first);
        let outcome = rest.as_ref().map_or_else(ToString::to_string, |_| "whole".to_owned());
        record.line(&format!("upstream {}: body of {id}: {outcome}", upstream.id));
        rest?;
        let answer = format!("{}done", upstream.answer_head(head, "200 OK", 4));
        let outcome = connection.write(answer.as_bytes());
        record.line(&format!("upstream {} answers {id} with 200: {outcome:?}", upstream.id));
        outcome.map(|()| true)
    })
}

/// Sends one request; returns the status of its answer and whether an upstream has sealed it.
fn send(
    caller: SocketAddr,
    size: usize,
    deadline_ms: u64,
    record: &Record,
) -> io::Result<(u16, bool)> {
    let mut connection = Connection::new(TcpStream::connect(caller)?);
    connection.stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
    let id = "9c41d07be2a35f68";
    let text = format!(
        "POST /a/1 HTTP/1.1\r\nHost: a.example\r\nX-Fireflydrum-Request-Id: {id}\r\n\
         X-Fireflydrum-Deadline-Ms: {deadline_ms}\r\nContent-Length: {size}\r\n\r\n"
    );
    connection.write(text.as_bytes())?;
    connection.write(&vec![b'x'; size])?;
    record.line(&format!("client has sent {id}, {size} bytes, deadline_ms={deadline_ms}"));
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = connection.body(head.length().unwrap_or(0))?;
    let seal = head.get("x-fireflydrum-upstream-seal");
    let body = String::from_utf8_lossy(&body);
    record.line(&format!(
        "client got {} seal={} body=\"{body}\"",
        head.status(),
        seal.unwrap_or("none")
    ));
    Ok((head.status(), seal.is_some()))
}

//! Log lines of requests: rate limit, kinds, safety against forged ids, and no blocking on a slow
//! reader.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, mpsc},
    thread,
    time::{Duration, Instant},
};

use gateway::{
    decision::{Attempt, Limiter, SUCCESS, Trace},
    logs,
};
use quickcheck::quickcheck;

/// An output that blocks until it is released.
struct BlockedOutput(Arc<(Mutex<bool>, Condvar)>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (released, changed) = &*self.0;
        drop(changed.wait_while(released.lock().unwrap(), |it| !*it).unwrap());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The reader of standard output stops reading. Lines are dropped and the writers are not blocked.
#[test]
fn stuck_reader() {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    logs::start(log::LevelFilter::Info, BlockedOutput(Arc::clone(&gate))).unwrap();
    let (done, finished) = mpsc::channel();
    thread::spawn(move || {
        (0..10_000).for_each(|it| log::info!("event=test number={it}"));
        done.send(()).unwrap();
    });
    finished.recv_timeout(Duration::from_mins(1)).expect("logging blocked on the reader");
    assert!(logs::dropped() >= 5_000, "{} lines dropped", logs::dropped());
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
}

/// Many requests are refused for one reason. They must not suppress the lines about other results.
#[test]
fn rate_limit() {
    let now = Instant::now();
    let mut limiter = Limiter::new(now);
    let mut admitted =
        |at, kind, limit| (0..1_000).filter(|_| limiter.allows(at, kind, limit)).count();
    assert_eq!(admitted(now, SUCCESS, 2), 2);
    assert_eq!(admitted(now, "overload", 50), 50);
    assert_eq!(admitted(now, "upstream-late", 50), 50, "not suppressed by refusals");
    assert_eq!(admitted(now + Duration::from_secs(1), "overload", 50), 50);
    assert_eq!(limiter.take_omitted(), 998 + 3 * 950);
}

/// A failure status of an upstream does not count as a success, also when it is forwarded after the
/// first attempt.
#[test]
fn result_kinds() {
    let attempt = |result: &str| Attempt {
        upstream: "u".into(),
        report_age: None,
        pace: None,
        at: Duration::ZERO,
        result: result.to_owned(),
        took: Duration::ZERO,
    };
    let check = |reason, status, results: &[&str], kind| {
        let mut trace = Trace::new(None, Instant::now());
        trace.reason = reason;
        trace.attempts.extend(results.iter().map(|it| attempt(it)));
        assert_eq!(trace.kind(status), kind, "{status} after {results:?}");
    };
    check("", 200, &["200"], SUCCESS);
    check("", 500, &["500"], "upstream-error");
    check("", 504, &["504"], "upstream-error");
    check("", 200, &["connection-broke", "200"], "repeated");
    check("overload", 503, &[], "overload");
}

quickcheck! {
    fn forged_ids(id: Vec<u8>) -> bool {
        let now = Instant::now();
        let line = Trace::new(Some(&id), now).log_line(503, now);
        let shown = line.split("id=").nth(1).unwrap().split(" status=503").next().unwrap().to_owned();
        shown.len() <= 64 && shown.bytes().all(|it| it.is_ascii_alphanumeric() || b"-_.:?".contains(&it))
    }
}

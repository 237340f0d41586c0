//! Repeated orders: through the same and another entry host, concurrently and later.

mod orders;

use std::{io::Write, net::TcpStream, thread, time::Duration};

use fleet::Service;
use orders::{Orders, PATH, check};

const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Deadline of the routes, in milliseconds.
const DEADLINE_MS: u64 = 4_000;

#[test]
fn repeated_order() {
    let orders = Orders::start(3, SERVICE_TIME, DEADLINE_MS);
    for kind in ["journaled", "unjournaled"] {
        let key = format!("{}.1", orders.session(0, kind));
        for host in [0, 0, 1, 2] {
            let answer = orders.place(host, &key, "one bale");
            check(&answer, "done", 200);
            assert_eq!(answer.body, "one bale");
        }
        let first_elsewhere = format!("{}.1", orders.session(1, kind));
        check(&orders.place(2, &first_elsewhere, "two bales"), "done", 200);
        check(&orders.place(1, &first_elsewhere, "two bales"), "done", 200);
    }
}

#[test]
fn own_key() {
    let orders = Orders::start(3, SERVICE_TIME, DEADLINE_MS);
    for host in [0, 1, 2, 0] {
        check(&orders.place(host, "mill-7", "one bale"), "done", 200);
    }
    check(&orders.place(1, "mill-7", "two bales"), "not-run", 422);
}

/// Sends copies of one order concurrently through every entry host.
fn check_race(key_of: impl Fn(&Orders, usize) -> String) {
    let orders = Orders::start(3, Duration::from_millis(100), DEADLINE_MS);
    for order in 0..5 {
        let key = key_of(&orders, order);
        thread::scope(|scope| {
            for copy in 0..6 {
                let (orders, key) = (&orders, &key);
                scope.spawn(move || {
                    let answer =
                        orders.call(copy % 3, &[format!("idempotency-key: {key}")], "bale");
                    check(&answer, "done", 200);
                    assert_eq!(answer.body, "bale");
                });
            }
        });
        assert_eq!(orders.runs(&key), 1);
    }
}

#[test]
fn session_key_race() {
    check_race(|orders, order| format!("{}.1", orders.session(order % 3, "journaled")));
}

#[test]
fn own_key_race() {
    check_race(|_, order| format!("mill-{order}"));
}

#[test]
fn mismatched_request() {
    let orders = Orders::start(2, SERVICE_TIME, DEADLINE_MS);
    let key = format!("{}.1", orders.session(0, "journaled"));
    check(&orders.place(0, &key, "one bale"), "done", 200);
    for host in [0, 1] {
        check(&orders.place(host, &key, "two bales"), "not-run", 422);
    }
    assert_eq!(orders.runs(&key), 1);
}

/// A caller that disconnects and repeats its order through another entry host gets the first run's
/// answer.
#[test]
fn repeat_elsewhere() {
    let orders = Orders::start(2, SERVICE_TIME, DEADLINE_MS);
    let key = format!("{}.1", orders.session(0, "journaled"));
    orders.stall(true);
    let mut stream = TcpStream::connect(orders.fleet.address(0)).expect("connects");
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nhost: a\r\nidempotency-key: {key}\r\ncontent-length: 4\r\n\r\nbale"
    );
    stream.write_all(head.as_bytes()).expect("sends");
    orders.await_runs(&key, 1);
    drop(stream);
    thread::scope(|scope| {
        let repeat = scope.spawn(|| orders.place(1, &key, "bale"));
        thread::sleep(Duration::from_millis(200));
        orders.stall(false);
        check(&repeat.join().expect("caller"), "done", 200);
    });
    assert_eq!(orders.runs(&key), 1);
}

#[test]
fn acknowledged_order() {
    let orders = Orders::start(1, SERVICE_TIME, DEADLINE_MS);
    let session = orders.session(0, "unjournaled");
    check(&orders.place(0, &format!("{session}.1"), "bale"), "done", 200);
    let headers =
        [format!("idempotency-key: {session}.2"), "fireflydrum-acknowledged: 1".to_owned()];
    check(&orders.call(0, &headers, "bale"), "done", 200);
    check(&orders.place(0, &format!("{session}.1"), "bale"), "unknown", 410);
    assert_eq!(orders.runs(&format!("{session}.1")), 1);
    let bad = [headers[0].clone(), "fireflydrum-acknowledged: all".to_owned()];
    check(&orders.call(0, &bad, "bale"), "unknown", 400);
}

#[test]
fn renewed_session() {
    let orders = Orders::start(1, SERVICE_TIME, DEADLINE_MS);
    let session = orders.session(0, "journaled");
    assert_eq!(orders.session(0, &session), session);
    assert_eq!(orders.session(0, "nonsense"), "");
}

#[test]
fn malformed_key() {
    let orders = Orders::start(1, SERVICE_TIME, DEADLINE_MS);
    let session = orders.session(0, "journaled");
    for key in ["fd1j-1.1", &session, &format!("{session}.0"), &format!("{session}.x")] {
        check(&orders.place(0, key, "bale"), "not-run", 400);
    }
}

/// A refusal before the key is looked up has outcome `unknown`, since the order may have run.
#[test]
fn early_refusal() {
    let service = Service { extra_keys: "body_limit = 1KiB".into(), ..Service::default() };
    let orders = Orders::start_with(1, service);
    let session = orders.session(0, "journaled");
    let key = format!("idempotency-key: {session}.1");
    check(&orders.call(0, std::slice::from_ref(&key), &"x".repeat(2_000)), "unknown", 413);
    check(&orders.call(0, &[key], "bale"), "done", 200);
    assert_eq!(orders.runs(&format!("{session}.1")), 1);
}

/// An order that expires while it waits for the log is never run.
#[test]
fn expired_order() {
    let orders = Orders::start(1, SERVICE_TIME, DEADLINE_MS);
    orders.fleet.log.update(|it| it.delay = Duration::from_millis(700));
    let key = format!("{}.1", orders.session(0, "journaled"));
    let headers = [format!("idempotency-key: {key}"), "fireflydrum-deadline-ms: 300".to_owned()];
    let answer = orders.call(0, &headers, "bale");
    check(&answer, "not-run", 504);
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(orders.runs(&key), 0);
    let repeat = orders.place(0, &key, "bale");
    check(&repeat, "not-run", 504);
}

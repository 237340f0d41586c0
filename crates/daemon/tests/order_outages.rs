//! Orders while the log is down, loses answers or stores records twice.

mod orders;

use std::time::Duration;

use orders::{Orders, check};

const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Deadline of the routes, in milliseconds.
const DEADLINE_MS: u64 = 4_000;

#[test]
fn log_down() {
    let orders = Orders::start(2, SERVICE_TIME, DEADLINE_MS);
    let journaled = orders.session(0, "journaled");
    orders.fleet.log.update(|it| it.down = true);
    let answer = orders.place(0, &format!("{journaled}.1"), "bale");
    assert_eq!(answer.outcome, "not-run", "{answer:?}");
    orders.await_journal(0, false);
    let session = orders.session(0, "journaled");
    assert!(session.starts_with("fd1u-"), "{session}");
    for host in [0, 1, 0] {
        check(&orders.place(host, &format!("{session}.1"), "bale"), "done", 200);
    }
    check(&orders.place(0, "mill-7", "bale"), "unknown", 503);
    assert_eq!(orders.runs("mill-7"), 0);

    orders.fleet.log.update(|it| it.down = false);
    orders.await_journal(0, true);
    check(&orders.place(0, "mill-7", "bale"), "done", 200);
    check(&orders.place(1, &format!("{journaled}.2"), "bale"), "done", 200);
    let repeat = orders.place(1, &format!("{journaled}.1"), "bale");
    assert_eq!(
        repeat.outcome, "not-run",
        "a number with outcome not-run must never run: {repeat:?}"
    );
}

#[test]
fn faulty_appends() {
    let orders = Orders::start(2, SERVICE_TIME, DEADLINE_MS);
    let session = orders.session(0, "journaled");
    let (mut done, mut other) = (0, 0);
    for number in 1..=12 {
        orders.fleet.log.update(|it| match number % 3 {
            0 => it.lost_answers = 1,
            1 => it.duplicates = 1,
            _ => {}
        });
        let key = format!("{session}.{number}");
        let first = orders.place(number % 2, &key, "bale");
        let repeat = orders.place((number + 1) % 2, &key, "bale");
        assert_eq!(first.outcome, repeat.outcome);
        if first.outcome == "done" {
            done += 1;
        } else {
            other += 1;
        }
        let own = format!("mill-{number}");
        orders.place(number % 2, &own, "bale");
        orders.place((number + 1) % 2, &own, "bale");
    }
    assert!(done >= 8, "done {done}, other {other}");
}

//! No order is dispatched after its deadline.

mod bench;

use std::time::Duration;

use bench::{Bench, CALLER_TIMEOUT, OWN, numbered};
use order::{
    Event, Key,
    Outcome::{NotRun, Unknown},
    Reason, Settings, Stream,
};

/// The deadline is checked when the permit is requested, and an expired order can't run later.
#[test]
fn permit_checks_deadline() {
    let mut bench = Bench::new(Settings::default());
    let key = numbered(bench.session(false), 1);
    bench.submit(key, 1);
    let waiting = bench.submit(key, 1);
    let denial = bench.engine.permit(&key, bench.now + CALLER_TIMEOUT).expect_err("too late");
    assert_eq!(denial.outcome, NotRun(Reason::Deadline));
    bench.actions.extend(denial.actions);
    bench.expect(waiting, &NotRun(Reason::Deadline));
    assert!(bench.engine.permit(&key, bench.now).is_err(), "the number is used");
}

/// An order that waits for the log ends at its deadline, even if its record is read later.
#[test]
fn waiting_order_expires() {
    let mut bench = Bench::new(Settings::default());
    let key = numbered(bench.session(true), 1);
    let ticket = bench.submit(key, 1);
    let wakeup = bench.engine.next_wakeup(bench.now).expect("a deadline");
    assert_eq!(wakeup, bench.now + CALLER_TIMEOUT);
    bench.advance(CALLER_TIMEOUT);
    bench.expect(ticket, &NotRun(Reason::Deadline));
    bench.complete_appends();
    bench.read(Stream::Orders(OWN), 0);
    assert!(!bench.started(ticket));
}

/// A process that was paused between reading the record and the dispatch gets no permit.
#[test]
fn pause_before_dispatch() {
    let mut bench = Bench::new(Settings::default());
    let key = numbered(bench.session(true), 1);
    let ticket = bench.submit(key, 1);
    bench.complete_appends();
    bench.read(Stream::Orders(OWN), 0);
    assert!(bench.started(ticket));
    bench.now += CALLER_TIMEOUT + Duration::from_mins(1);
    assert!(bench.engine.permit(&key, bench.now).is_err());
}

/// A caller that disconnects before the append completes ends the order.
#[test]
fn disconnect_aborts_order() {
    for (key, outcome) in
        [(None, NotRun(Reason::Refused)), (Some(Key::Own(1)), Unknown(Reason::Undecided))]
    {
        let mut bench = Bench::new(Settings::default());
        let key = key.unwrap_or(numbered(bench.session(true), 1));
        let ticket = bench.submit(key, 1);
        let waiting = bench.submit(key, 1);
        bench.feed(Event::Disconnected(ticket));
        bench.expect(waiting, &outcome);
        assert!(bench.engine.permit(&key, bench.now).is_err());
    }
}

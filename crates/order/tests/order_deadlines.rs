//! Nothing is dispatched once its deadline has passed.

mod bench;

use std::time::Duration;

use bench::{Bench, OWN, PATIENCE, numbered};
use order::{
    Event, Key,
    Outcome::{NotRun, Unknown},
    Reason, Settings, Stream,
};

#[test]
fn permit_looks_at_the_clock() {
    let mut bench = Bench::new(Settings::default());
    let key = numbered(bench.session(false), 1);
    bench.submit(key, 1);
    let waiting = bench.submit(key, 1);
    let denial = bench.engine.permit(&key, bench.now + PATIENCE).expect_err("too late");
    assert_eq!(denial.outcome, NotRun(Reason::Deadline));
    bench.actions.extend(denial.actions);
    bench.expect(waiting, &NotRun(Reason::Deadline));
    assert!(bench.engine.permit(&key, bench.now).is_err(), "the number is used up");
}

#[test]
fn order_that_waits_for_the_log_ends_at_its_deadline() {
    let mut bench = Bench::new(Settings::default());
    let key = numbered(bench.session(true), 1);
    let ticket = bench.submit(key, 1);
    let wakeup = bench.engine.next_wakeup(bench.now).expect("a deadline");
    assert_eq!(wakeup, bench.now + PATIENCE);
    bench.advance(PATIENCE);
    bench.expect(ticket, &NotRun(Reason::Deadline));
    bench.land();
    bench.read(Stream::Orders(OWN), 0);
    assert!(!bench.started(ticket));
}

#[test]
fn pause_between_reading_and_dispatch_is_noticed() {
    let mut bench = Bench::new(Settings::default());
    let key = numbered(bench.session(true), 1);
    let ticket = bench.submit(key, 1);
    bench.land();
    bench.read(Stream::Orders(OWN), 0);
    assert!(bench.started(ticket));
    bench.now += PATIENCE + Duration::from_mins(1);
    assert!(bench.engine.permit(&key, bench.now).is_err());
}

#[test]
fn caller_that_gives_up_before_the_append_ends_the_order() {
    for (key, outcome) in
        [(None, NotRun(Reason::Refused)), (Some(Key::Own(1)), Unknown(Reason::Undecided))]
    {
        let mut bench = Bench::new(Settings::default());
        let key = key.unwrap_or(numbered(bench.session(true), 1));
        let ticket = bench.submit(key, 1);
        let waiting = bench.submit(key, 1);
        bench.feed(Event::Abandoned(ticket));
        bench.expect(waiting, &outcome);
        assert!(bench.engine.permit(&key, bench.now).is_err());
    }
}

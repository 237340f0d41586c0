//! Orders of a session: repeats, acknowledgement, bounds, renewal and end.

mod bench;

use std::time::Duration;

use bench::{Bench, answer, done, numbered};
use order::{
    Event, Key, Outcome,
    Outcome::{NotRun, Unknown},
    Reason, Settings, Submission,
};

#[test]
fn repeat_waits_then_gets_the_answer() {
    let mut bench = Bench::new(Settings::default());
    let key = numbered(bench.session(false), 1);
    let first = bench.submit(key, 1);
    assert!(bench.started(first));
    let waiting = bench.submit(key, 1);
    assert_eq!(bench.outcome(waiting), None);
    bench.run(key, "bale");
    bench.expect(waiting, &done("bale"));
    let late = bench.submit(key, 1);
    assert!(!bench.started(late));
    bench.expect(late, &done("bale"));
}

#[test]
fn permit_is_given_once() {
    let mut bench = Bench::new(Settings::default());
    let key = numbered(bench.session(false), 1);
    bench.submit(key, 1);
    assert!(bench.engine.permit(&key, bench.now).is_ok());
    assert!(bench.engine.permit(&key, bench.now).is_err());
    bench.feed(Event::Unsent(key));
    assert!(bench.engine.permit(&key, bench.now).is_ok());
    bench.feed(Event::Finished(key, Outcome::Unknown(Reason::Interrupted)));
    assert!(bench.engine.permit(&key, bench.now).is_err());
    bench.feed(Event::Unsent(key));
    assert!(bench.engine.permit(&key, bench.now).is_err(), "what has ended is not taken back");
}

#[test]
fn late_answer_replaces_unknown() {
    let mut bench = Bench::new(Settings::default());
    let key = numbered(bench.session(false), 1);
    bench.submit(key, 1);
    bench.engine.permit(&key, bench.now).expect("ready");
    bench.feed(Event::Finished(key, Outcome::Unknown(Reason::Interrupted)));
    bench.feed(Event::Finished(key, Outcome::Done(answer("late"))));
    bench.feed(Event::Finished(key, Outcome::Done(answer("doubled"))));
    let repeat = bench.submit(key, 1);
    bench.expect(repeat, &done("late"));
}

#[test]
fn other_request_under_the_key_is_refused() {
    let mut bench = Bench::new(Settings::default());
    let key = numbered(bench.session(false), 1);
    bench.submit(key, 1);
    bench.run(key, "bale");
    let other = bench.submit(key, 2);
    bench.expect(other, &NotRun(Reason::Mismatch));
}

#[test]
fn acknowledged_numbers_are_forgotten_and_never_run() {
    let mut bench = Bench::new(Settings::default());
    let session = bench.session(false);
    for number in 1..=3 {
        bench.submit(numbered(session, number), 1);
        bench.run(numbered(session, number), "bale");
    }
    assert_eq!(bench.engine.usage().0, 3);
    bench.submit_with(numbered(session, 4), 1, |it| Submission { acknowledged: 2, ..it });
    assert_eq!(bench.engine.usage().0, 2);
    let old = bench.submit(numbered(session, 2), 1);
    bench.expect(old, &Unknown(Reason::Acknowledged));
    let kept = bench.submit(numbered(session, 3), 1);
    bench.expect(kept, &done("bale"));
}

#[test]
fn session_without_acknowledgement_is_closed_for_good() {
    let settings = Settings { window: 3, ..Settings::default() };
    let mut bench = Bench::new(settings);
    let session = bench.session(false);
    let far = bench.submit(numbered(session, 4), 1);
    bench.expect(far, &NotRun(Reason::Window));
    let delayed =
        bench.submit_with(numbered(session, 4), 1, |it| Submission { acknowledged: 3, ..it });
    bench.expect(delayed, &NotRun(Reason::SessionEnded));
    assert_eq!(bench.engine.renew(&session, bench.now), None);
}

#[test]
fn repeats_that_wait_are_bounded() {
    let settings = Settings { waiter_limit: 2, ..Settings::default() };
    let mut bench = Bench::new(settings);
    let key = numbered(bench.session(false), 1);
    bench.submit(key, 1);
    let waiting = [bench.submit(key, 1), bench.submit(key, 1)];
    let refused = bench.submit(key, 1);
    bench.expect(refused, &Unknown(Reason::Pending));
    bench.advance(bench::PATIENCE);
    for it in waiting {
        bench.expect(it, &Unknown(Reason::Pending));
    }
}

#[test]
fn evicted_answer_leaves_a_tombstone() {
    let settings = Settings { answer_limit_bytes: 25, ..Settings::default() };
    let mut bench = Bench::new(settings);
    let session = bench.session(false);
    for number in 1..=3 {
        bench.submit(numbered(session, number), 1);
        bench.run(numbered(session, number), "0123456789");
        assert!(bench.engine.usage().1 <= 25);
    }
    let evicted = bench.submit(numbered(session, 1), 1);
    assert!(!bench.started(evicted));
    bench.expect(evicted, &Outcome::Unkept);
    let kept = bench.submit(numbered(session, 3), 1);
    bench.expect(kept, &done("0123456789"));
}

/// A session of `life` is used after `wait`, with or without a renewal half-way.
fn check_life(wait_s: u64, renewed: bool, old: &Outcome, new: Option<&Outcome>) {
    let settings = Settings {
        session_ttl: Duration::from_secs(100),
        session_grace: Duration::from_secs(50),
        ..Settings::default()
    };
    let mut bench = Bench::new(settings);
    let session = bench.session(false);
    bench.submit(numbered(session, 1), 1);
    bench.run(numbered(session, 1), "bale");
    bench.advance(Duration::from_secs(50));
    if renewed {
        assert!(bench.engine.renew(&session, bench.now).is_some());
    }
    bench.advance(Duration::from_secs(wait_s - 50));
    let tickets = [1, 2].map(|it| bench.submit(numbered(session, it), 1));
    bench.expect(tickets[0], old);
    assert_eq!(bench.outcome(tickets[1]).as_ref(), new);
}

#[test]
fn session_ends_and_is_renewed() {
    check_life(99, false, &done("bale"), None);
    check_life(100, false, &done("bale"), Some(&NotRun(Reason::SessionEnded)));
    check_life(149, true, &done("bale"), None);
    check_life(150, true, &done("bale"), Some(&NotRun(Reason::SessionEnded)));
    let gone = Unknown(Reason::SessionUnknown);
    check_life(150, false, &gone, Some(&gone));
}

#[test]
fn sessions_are_bounded_and_forgotten() {
    let settings = Settings { session_limit: 2, ..Settings::default() };
    let mut bench = Bench::new(settings);
    let issue = |bench: &mut Bench, nonce| bench.engine.issue(false, nonce, bench.now).is_some();
    assert!(issue(&mut bench, 1) && issue(&mut bench, 2));
    assert!(!issue(&mut bench, 3));
    bench.advance(Duration::from_hours(1));
    assert!(issue(&mut bench, 3));
}

#[test]
fn session_of_another_caller_is_not_guessed() {
    let mut bench = Bench::new(Settings::default());
    let session = bench.session(false);
    let forged = order::Session { nonce: session.nonce + 1, ..session };
    let ticket = bench.submit(Key::Numbered { session: forged, number: 1 }, 1);
    bench.expect(ticket, &Unknown(Reason::SessionUnknown));
}

//! Callers' own keys, claimed through the log.

mod bench;

use std::time::Duration;

use bench::{Bench, OTHER, OWN, done};
use order::{
    Action, Body, Claim, Event, Failure, Fingerprint, Incarnation, Key,
    Outcome::{NotRun, Unknown},
    Reason, Settings, Stream,
};

const KEY: Key = Key::Own(3);

fn claims(owner: Incarnation, content: u128) -> Body {
    let claim = Claim { key: Fingerprint(3), fingerprint: Fingerprint(content) };
    Body::Claims { owner, claims: vec![claim] }
}

/// The first claim executes the order, and repeats get its answer.
#[test]
fn first_claim_executes() {
    let mut bench = Bench::new(Settings::default());
    let ticket = bench.submit(KEY, 1);
    bench.complete_appends();
    bench.read(Stream::Claims, 0);
    assert!(bench.started(ticket));
    bench.run(KEY, "bale");
    let repeat = bench.submit(KEY, 1);
    bench.expect(repeat, &done("bale"));
    let other = bench.submit(KEY, 2);
    bench.expect(other, &NotRun(Reason::Mismatch));
}

/// When two hosts claim a key at the same time, only the first claim in the log is dispatched.
#[test]
fn race_dispatches_once() {
    for is_first in [true, false] {
        let mut bench = Bench::new(Settings::default());
        let ticket = bench.submit(KEY, 1);
        let waiting = bench.submit(KEY, 1);
        if is_first {
            bench.complete_appends();
        }
        bench.put(Stream::Claims, claims(OTHER, 1));
        bench.complete_appends();
        bench.read(Stream::Claims, 0);
        assert_eq!(bench.started(ticket), is_first);
        for it in [ticket, waiting] {
            assert_eq!(bench.forwarded(it, OTHER), !is_first);
        }
    }
}

/// A request that loses the claim to a different request is `not-run`.
#[test]
fn mismatch_not_run() {
    let mut bench = Bench::new(Settings::default());
    let ticket = bench.submit(KEY, 2);
    bench.put(Stream::Claims, claims(OTHER, 1));
    bench.complete_appends();
    bench.read(Stream::Claims, 0);
    bench.expect(ticket, &NotRun(Reason::Mismatch));
}

/// While the log is down, claims are undecided; a repeat succeeds once the log answers.
#[test]
fn log_down_undecided() {
    let mut bench = Bench::new(Settings::default());
    let ticket = bench.submit(KEY, 1);
    bench.fail(Failure::Refused);
    bench.expect(ticket, &Unknown(Reason::Undecided));
    let repeat = bench.submit(KEY, 1);
    bench.expect(repeat, &Unknown(Reason::Undecided));
    bench.feed(Event::Log { up: true });
    let later = bench.submit(KEY, 1);
    bench.advance(Settings::default().append_interval);
    bench.complete_appends();
    bench.read(Stream::Claims, 0);
    assert!(bench.started(later), "a repeat is executed once the log answers");
}

/// A claim that was abandoned and is read as the first one later settles the order as `not-run`.
#[test]
fn late_claim_not_run() {
    let mut bench = Bench::new(Settings::default());
    let ticket = bench.submit(KEY, 1);
    let Some(Action::Append { record, .. }) = bench.appends.first().cloned() else {
        panic!("an append is in flight");
    };
    bench.fail(Failure::Unknown);
    bench.advance(Settings::default().append_grace);
    bench.expect(ticket, &Unknown(Reason::Undecided));
    bench.feed(Event::Read { stream: Stream::Claims, offset: 0, record });
    assert!(!bench.started(ticket));
    let repeat = bench.submit(KEY, 1);
    bench.expect(repeat, &NotRun(Reason::Journal));
}

#[test]
fn abandoned_claims_expire() {
    let settings = Settings::default();
    let mut bench = Bench::new(settings.clone());
    bench.submit(KEY, 1);
    bench.fail(Failure::Unknown);
    bench.advance(settings.append_grace);
    assert_eq!(bench.engine.usage().0, 1);
    bench.advance(settings.claim_ttl);
    assert_eq!(bench.engine.usage().0, 0);
}

/// The outcome of an order whose owner has ended is unknown, because claims can't be revoked.
#[test]
fn gone_owner_unknown() {
    let mut bench = Bench::new(Settings::default());
    bench.put(Stream::Claims, claims(OTHER, 1));
    bench.read(Stream::Claims, 0);
    let ticket = bench.submit(KEY, 1);
    assert!(bench.forwarded(ticket, OTHER));
    bench.feed(Event::ForwardFailed { ticket, gone: true });
    bench.expect(ticket, &Unknown(Reason::IssuerGone));
    assert!(bench.appends.is_empty(), "a revocation does not close the stream of claims");
}

/// A claim of a later format blocks all claims until it has expired.
#[test]
fn unreadable_claim_blocks() {
    let ttl = Settings::default().claim_ttl;
    let mut bench = Bench::new(Settings::default());
    let pending = bench.submit(KEY, 1);
    bench.streams.entry(Stream::Claims).or_default().push("{\"format\":2}".into());
    bench.complete_appends();
    bench.read(Stream::Claims, 0);
    assert!(!bench.started(pending));
    bench.expect(pending, &Unknown(Reason::Undecided));
    let next = bench.submit(Key::Own(4), 1);
    bench.expect(next, &Unknown(Reason::Undecided));
    bench.advance(ttl);
    let later = bench.submit(Key::Own(5), 1);
    assert_eq!(bench.outcome(later), None);
}

/// Claims expire exactly after their lifetime.
#[test]
fn claims_expire() {
    let ttl = Settings::default().claim_ttl;
    let mut bench = Bench::new(Settings::default());
    bench.put(Stream::Claims, claims(OWN, 1));
    bench.read(Stream::Claims, 0);
    bench.advance(ttl.saturating_sub(Duration::from_millis(1)));
    let early = bench.submit(KEY, 1);
    bench.expect(early, &Unknown(Reason::SessionUnknown));
    bench.advance(Duration::from_millis(1));
    let late = bench.submit(KEY, 1);
    assert_eq!(bench.outcome(late), None);
    assert_eq!(bench.appends.len(), 1);
}

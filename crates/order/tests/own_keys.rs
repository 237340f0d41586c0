//! Keys of the caller's own, claimed through the log.

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

#[test]
fn first_claim_runs_and_repeats_get_its_answer() {
    let mut bench = Bench::new(Settings::default());
    let ticket = bench.submit(KEY, 1);
    bench.land();
    bench.read(Stream::Claims, 0);
    assert!(bench.started(ticket));
    bench.run(KEY, "bale");
    let repeat = bench.submit(KEY, 1);
    bench.expect(repeat, &done("bale"));
    let other = bench.submit(KEY, 2);
    bench.expect(other, &NotRun(Reason::Mismatch));
}

#[test]
fn two_hosts_that_race_dispatch_once() {
    for is_first in [true, false] {
        let mut bench = Bench::new(Settings::default());
        let ticket = bench.submit(KEY, 1);
        let waiting = bench.submit(KEY, 1);
        if is_first {
            bench.land();
        }
        bench.put(Stream::Claims, claims(OTHER, 1));
        bench.land();
        bench.read(Stream::Claims, 0);
        assert_eq!(bench.started(ticket), is_first);
        for it in [ticket, waiting] {
            assert_eq!(bench.forwarded(it, OTHER), !is_first);
        }
    }
}

#[test]
fn loser_with_another_request_was_not_run() {
    let mut bench = Bench::new(Settings::default());
    let ticket = bench.submit(KEY, 2);
    bench.put(Stream::Claims, claims(OTHER, 1));
    bench.land();
    bench.read(Stream::Claims, 0);
    bench.expect(ticket, &NotRun(Reason::Mismatch));
}

#[test]
fn nothing_is_said_for_certain_while_the_log_is_down() {
    let mut bench = Bench::new(Settings::default());
    let ticket = bench.submit(KEY, 1);
    bench.fail(Failure::Refused);
    bench.expect(ticket, &Unknown(Reason::Undecided));
    let repeat = bench.submit(KEY, 1);
    bench.expect(repeat, &Unknown(Reason::Undecided));
    bench.feed(Event::Log { up: true });
    let later = bench.submit(KEY, 1);
    bench.advance(Settings::default().append_interval);
    bench.land();
    bench.read(Stream::Claims, 0);
    assert!(bench.started(later), "a repeat is right once the log answers");
}

#[test]
fn lost_claim_that_won_is_settled_as_not_run() {
    let mut bench = Bench::new(Settings::default());
    let ticket = bench.submit(KEY, 1);
    let Some(Action::Append { record, .. }) = bench.appends.first().cloned() else {
        panic!("an append is under way");
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
fn lost_claims_are_forgotten_in_the_end() {
    let settings = Settings::default();
    let mut bench = Bench::new(settings.clone());
    bench.submit(KEY, 1);
    bench.fail(Failure::Unknown);
    bench.advance(settings.append_grace);
    assert_eq!(bench.engine.usage().0, 1);
    bench.advance(settings.claim_ttl);
    assert_eq!(bench.engine.usage().0, 0);
}

#[test]
fn dead_owner_leaves_the_outcome_unknown() {
    let mut bench = Bench::new(Settings::default());
    bench.put(Stream::Claims, claims(OTHER, 1));
    bench.read(Stream::Claims, 0);
    let ticket = bench.submit(KEY, 1);
    assert!(bench.forwarded(ticket, OTHER));
    bench.feed(Event::ForwardFailed { ticket, gone: true });
    bench.expect(ticket, &Unknown(Reason::IssuerGone));
    assert!(bench.appends.is_empty(), "a claim is in no stream that a revocation closes");
}

#[test]
fn unreadable_claim_stops_all_claims_for_their_life() {
    let life = Settings::default().claim_ttl;
    let mut bench = Bench::new(Settings::default());
    let pending = bench.submit(KEY, 1);
    bench.streams.entry(Stream::Claims).or_default().push("{\"format\":2}".into());
    bench.land();
    bench.read(Stream::Claims, 0);
    assert!(!bench.started(pending));
    bench.expect(pending, &Unknown(Reason::Undecided));
    let next = bench.submit(Key::Own(4), 1);
    bench.expect(next, &Unknown(Reason::Undecided));
    bench.advance(life);
    let later = bench.submit(Key::Own(5), 1);
    assert_eq!(bench.outcome(later), None);
}

#[test]
fn claims_are_forgotten_after_their_life_only() {
    let life = Settings::default().claim_ttl;
    let mut bench = Bench::new(Settings::default());
    bench.put(Stream::Claims, claims(OWN, 1));
    bench.read(Stream::Claims, 0);
    bench.advance(life.saturating_sub(Duration::from_millis(1)));
    let early = bench.submit(KEY, 1);
    bench.expect(early, &Unknown(Reason::SessionUnknown));
    bench.advance(Duration::from_millis(1));
    let late = bench.submit(KEY, 1);
    assert_eq!(bench.outcome(late), None);
    assert_eq!(bench.appends.len(), 1);
}

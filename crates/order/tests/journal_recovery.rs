//! Journaled orders: lost appends, revocation, and recovery by another host.

mod bench;

use std::time::Duration;

use bench::{Bench, OTHER, OWN, answer, done, numbered};
use bytes::Bytes;
use order::{
    Action, Body, Event, Failure, Fingerprint, Finished, Journal, Outcome,
    Outcome::{NotRun, Unknown},
    Reason, Session, Settings, Started, Stream, Ticket,
};

const OWN_STREAM: Stream = Stream::Orders(OWN);
const OTHER_STREAM: Stream = Stream::Orders(OTHER);

/// An engine with a journaled order whose append is in flight.
fn appended() -> (Bench, Session, Ticket) {
    let mut bench = Bench::new(Settings::default());
    let session = bench.session(true);
    let ticket = bench.submit(numbered(session, 1), 1);
    assert!(!bench.started(ticket));
    (bench, session, ticket)
}

/// An order starts only once its record has been read back, and only once.
#[test]
fn read_record_starts() {
    let (mut bench, session, ticket) = appended();
    bench.complete_appends();
    assert!(!bench.started(ticket));
    bench.read(OWN_STREAM, 0);
    assert!(bench.started(ticket));
    bench.run(numbered(session, 1), "bale");
    bench.read(OWN_STREAM, 0);
    assert!(!bench.started(ticket), "a duplicate record starts nothing");
}

/// An order whose append was refused is answered `not-run`, and so are its repeats.
#[test]
fn refused_append_finishes() {
    let (mut bench, session, ticket) = appended();
    bench.fail(Failure::Refused);
    bench.expect(ticket, &NotRun(Reason::Journal));
    let repeat = bench.submit(numbered(session, 1), 1);
    bench.expect(repeat, &NotRun(Reason::Journal));
    let journal = bench.engine.issue(true, 9, bench.now).expect("room").session.journal;
    assert_eq!(journal, Journal::Off, "sessions are unjournaled while the log is down");
}

/// If the answer to an append is lost, the order starts only if its record is read within the grace
/// period. It never runs after it was answered `not-run`.
#[test]
fn unknown_append_expires() {
    for is_read in [true, false] {
        let (mut bench, session, ticket) = appended();
        let Some(Action::Append { stream, record, .. }) = bench.appends.first().cloned() else {
            panic!("an append is in flight");
        };
        bench.streams.entry(stream).or_default().push(record);
        bench.fail(Failure::Unknown);
        if !is_read {
            bench.advance(Settings::default().append_grace);
            bench.expect(ticket, &NotRun(Reason::Deadline));
        }
        bench.read(OWN_STREAM, 0);
        assert_eq!(bench.started(ticket), is_read);
        assert_eq!(bench.engine.permit(&numbered(session, 1), bench.now).is_ok(), is_read);
    }
}

/// A daemon that was revoked while it was paused dispatches nothing, whether it reads the
/// revocation, a record of a later format, or misses records that the log dropped.
#[test]
fn revoked_dispatches_nothing() {
    let revocations: [&dyn Fn(&mut Bench); 3] = [
        &|it| it.put(OWN_STREAM, Body::Revoked { by: OTHER }),
        &|it| it.streams.entry(OWN_STREAM).or_default().push("{\"format\":2}".into()),
        &|it| it.feed(Event::Trimmed { stream: OWN_STREAM, first: 1 }),
    ];
    for revoke in revocations {
        let (mut bench, session, ticket) = appended();
        revoke(&mut bench);
        bench.complete_appends();
        bench.read(OWN_STREAM, 0);
        assert!(!bench.started(ticket));
        bench.expect(ticket, &NotRun(Reason::Revoked));
        assert!(bench.actions.contains(&Action::StartIncarnation));
        let next = bench.submit(numbered(session, 2), 1);
        bench.expect(next, &NotRun(Reason::Revoked));
        bench.feed(Event::IncarnationStarted(5));
        let fresh = bench.session(true);
        let ticket = bench.submit(numbered(fresh, 1), 1);
        bench.advance(Settings::default().append_interval);
        bench.complete_appends();
        bench.read(Stream::Orders(5), 0);
        assert!(bench.started(ticket));
    }
}

/// Malformed records are not taken for a revocation.
#[test]
fn malformed_record_skipped() {
    let (mut bench, _, ticket) = appended();
    for malformed in ["", "{\"format\":1,\"kind\":\"rev", "42", "{\"kind\":\"revoked\"}"] {
        bench.streams.entry(OWN_STREAM).or_default().push(Bytes::from_static(malformed.as_bytes()));
    }
    bench.complete_appends();
    bench.read(OWN_STREAM, 0);
    let skipped = bench.actions.iter().filter(|it| matches!(it, Action::Skipped { .. })).count();
    assert_eq!(skipped, 4);
    assert!(bench.started(ticket));
}

fn started(number: u64) -> Started {
    Started { nonce: 7, number, fingerprint: Fingerprint(1) }
}

fn orders(started: Vec<Started>, finished: Vec<Finished>) -> Body {
    Body::Orders { started, finished }
}

/// Recovers orders 1 to 4, all with the same request, of an unreachable issuer that wrote
/// `journal`, and checks their `outcomes`. `first` is the oldest offset in the log, `base` that of
/// the session.
fn check(journal: &[Body], first: u64, base: u64, outcomes: &[Outcome; 4]) {
    let mut bench = Bench::new(Settings::default());
    for it in journal {
        bench.put(OTHER_STREAM, it.clone());
    }
    let session = Session { incarnation: OTHER, nonce: 7, journal: Journal::From(base) };
    let tickets = [1, 2, 3, 4].map(|it| bench.submit(numbered(session, it), 1));
    for ticket in tickets {
        assert!(bench.forwarded(ticket, OTHER));
        bench.feed(Event::ForwardFailed { ticket, gone: true });
        assert_eq!(bench.outcome(ticket), None, "no outcome before the revocation is read");
    }
    assert_eq!(bench.appends.len(), 1, "one revocation for all requests");
    bench.complete_appends();
    let from = usize::try_from(first.max(base)).expect("few records");
    if first > base {
        bench.feed(Event::Trimmed { stream: OTHER_STREAM, first });
    }
    bench.read(OTHER_STREAM, from);
    assert_eq!(tickets.map(|it| bench.outcome(it)), outcomes.clone().map(Some));
}

/// Another host answers only what the journal proves, and `unknown` if the log dropped records.
#[test]
fn other_host_recovers() {
    let unknown = || Unknown(Reason::IssuerGone);
    let revoked = || NotRun(Reason::Revoked);
    check(&[], 0, 0, &[revoked(), revoked(), revoked(), revoked()]);
    let started_two = orders(vec![started(1), started(2)], vec![]);
    let done_one = Finished { order: started(1), outcome: Outcome::Done(answer("bale")) };
    let refused_three = Finished { order: started(3), outcome: NotRun(Reason::Journal) };
    let finished = orders(vec![], vec![done_one, refused_three]);
    let journal = [started_two.clone(), finished];
    check(&journal, 0, 0, &[done("bale"), unknown(), NotRun(Reason::Journal), revoked()]);
    let late = [started_two.clone(), Body::Revoked { by: 9 }, orders(vec![started(3)], vec![])];
    check(&late, 0, 0, &[unknown(), unknown(), revoked(), revoked()]);
    let trimmed = [started_two.clone(), orders(vec![started(3)], vec![])];
    check(&trimmed, 1, 0, &[unknown(), unknown(), unknown(), unknown()]);
    check(&trimmed, 1, 1, &[revoked(), revoked(), unknown(), revoked()]);
}

/// A host can't answer `not-run` from a journal with a record of a later format.
#[test]
fn later_format_unknown() {
    let mut bench = Bench::new(Settings::default());
    bench.streams.entry(OTHER_STREAM).or_default().push("{\"format\":2}".into());
    let session = Session { incarnation: OTHER, nonce: 7, journal: Journal::From(0) };
    let ticket = bench.submit(numbered(session, 1), 1);
    bench.feed(Event::ForwardFailed { ticket, gone: true });
    bench.complete_appends();
    bench.read(OTHER_STREAM, 0);
    bench.expect(ticket, &Unknown(Reason::IssuerGone));
}

/// A slow issuer is retried before it is revoked.
#[test]
fn slow_issuer_retried() {
    let settings = Settings::default();
    let mut bench = Bench::new(settings.clone());
    let session = Session { incarnation: OTHER, nonce: 7, journal: Journal::From(0) };
    let ticket = bench.submit(numbered(session, 1), 1);
    assert!(bench.forwarded(ticket, OTHER));
    let mut waited = Duration::ZERO;
    while waited < settings.suspect_after {
        bench.feed(Event::ForwardFailed { ticket, gone: false });
        bench.advance(settings.forward_interval);
        waited += settings.forward_interval;
        assert!(bench.forwarded(ticket, OTHER));
        assert!(bench.appends.is_empty());
    }
    bench.feed(Event::ForwardFailed { ticket, gone: false });
    assert_eq!(bench.appends.len(), 1);
}

/// Outcomes are `unknown` without a journal, without the log, or if the revocation isn't confirmed.
#[test]
fn unrecoverable_is_unknown() {
    for (journal, up) in [(Journal::Off, true), (Journal::From(0), false)] {
        let mut bench = Bench::new(Settings::default());
        bench.feed(Event::Log { up });
        let session = Session { incarnation: OTHER, nonce: 7, journal };
        let ticket = bench.submit(numbered(session, 1), 1);
        bench.feed(Event::ForwardFailed { ticket, gone: true });
        bench.expect(ticket, &Unknown(Reason::IssuerGone));
    }
    let mut bench = Bench::new(Settings::default());
    let session = Session { incarnation: OTHER, nonce: 7, journal: Journal::From(0) };
    let ticket = bench.submit(numbered(session, 1), 1);
    bench.feed(Event::ForwardFailed { ticket, gone: true });
    bench.fail(Failure::Unknown);
    bench.advance(bench::CALLER_TIMEOUT);
    bench.expect(ticket, &Unknown(Reason::IssuerGone));
}

/// A forwarded request is not forwarded again.
#[test]
fn forwarded_once_only() {
    let mut bench = Bench::new(Settings::default());
    let session = Session { incarnation: OTHER, nonce: 7, journal: Journal::From(0) };
    let ticket = bench
        .submit_with(numbered(session, 1), 1, |it| order::Submission { forwarded: true, ..it });
    bench.expect(ticket, &Unknown(Reason::IssuerGone));
}

/// Requests with forged sessions don't keep valid orders from being appended.
#[test]
fn forged_sessions_bounded() {
    let settings = Settings::default();
    let mut bench = Bench::new(settings.clone());
    let own = bench.session(true);
    let mut unknown = 0;
    for incarnation in 100..120 {
        let session = Session { incarnation, nonce: 7, journal: Journal::From(0) };
        let ticket = bench.submit(numbered(session, 1), 1);
        bench.feed(Event::ForwardFailed { ticket, gone: true });
        unknown += usize::from(bench.outcome(ticket).is_some());
    }
    assert_eq!(unknown, 20 - settings.revocation_limit);
    let ticket = bench.submit(numbered(own, 1), 1);
    for _ in 0..2 {
        bench.advance(settings.append_interval);
        bench.complete_appends();
    }
    bench.read(OWN_STREAM, 0);
    assert!(bench.started(ticket), "started after at most two appends");
}

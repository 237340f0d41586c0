//! Journaled orders: lost appends, revocation, and what another host recovers.

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

/// An engine with a journaled order that was appended and not read back.
fn appended() -> (Bench, Session, Ticket) {
    let mut bench = Bench::new(Settings::default());
    let session = bench.session(true);
    let ticket = bench.submit(numbered(session, 1), 1);
    assert!(!bench.started(ticket));
    (bench, session, ticket)
}

#[test]
fn order_starts_once_its_record_is_read() {
    let (mut bench, session, ticket) = appended();
    bench.land();
    assert!(!bench.started(ticket));
    bench.read(OWN_STREAM, 0);
    assert!(bench.started(ticket));
    bench.run(numbered(session, 1), "bale");
    bench.read(OWN_STREAM, 0);
    assert!(!bench.started(ticket), "a duplicate append starts nothing");
}

#[test]
fn order_whose_append_was_refused_never_runs() {
    let (mut bench, session, ticket) = appended();
    bench.fail(Failure::Refused);
    bench.expect(ticket, &NotRun(Reason::Journal));
    let repeat = bench.submit(numbered(session, 1), 1);
    bench.expect(repeat, &NotRun(Reason::Journal));
    let journal = bench.engine.issue(true, 9, bench.now).expect("room").session.journal;
    assert_eq!(journal, Journal::Off, "orders flow unjournaled while the log is down");
}

#[test]
fn lost_append_answer_ends_the_order_unless_it_is_read_soon() {
    for is_read in [true, false] {
        let (mut bench, session, ticket) = appended();
        let Some(Action::Append { stream, record, .. }) = bench.appends.first().cloned() else {
            panic!("an append is under way");
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

#[test]
fn paused_daemon_that_was_revoked_dispatches_nothing() {
    let revocations: [&dyn Fn(&mut Bench); 3] = [
        &|it| it.put(OWN_STREAM, Body::Revoked { by: OTHER }),
        &|it| it.streams.entry(OWN_STREAM).or_default().push("{\"format\":2}".into()),
        &|it| it.feed(Event::Trimmed { stream: OWN_STREAM, first: 1 }),
    ];
    for revoke in revocations {
        let (mut bench, session, ticket) = appended();
        revoke(&mut bench);
        bench.land();
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
        bench.land();
        bench.read(Stream::Orders(5), 0);
        assert!(bench.started(ticket));
    }
}

#[test]
fn torn_record_revokes_nothing() {
    let (mut bench, _, ticket) = appended();
    for torn in ["", "{\"format\":1,\"kind\":\"rev", "42", "{\"kind\":\"revoked\"}"] {
        bench.streams.entry(OWN_STREAM).or_default().push(Bytes::from_static(torn.as_bytes()));
    }
    bench.land();
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

/// The issuer left `journal` and can't be reached: `outcomes` of its orders 1 to 4, all with the
/// same request, are recovered by another host. `first` is the oldest offset that the log keeps.
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
        assert_eq!(bench.outcome(ticket), None, "nothing is certain before the revocation");
    }
    assert_eq!(bench.appends.len(), 1, "one revocation serves all");
    bench.land();
    let from = usize::try_from(first.max(base)).expect("few records");
    if first > base {
        bench.feed(Event::Trimmed { stream: OTHER_STREAM, first });
    }
    bench.read(OTHER_STREAM, from);
    assert_eq!(tickets.map(|it| bench.outcome(it)), outcomes.clone().map(Some));
}

#[test]
fn other_host_recovers_what_is_certain() {
    let gone = || Unknown(Reason::IssuerGone);
    let revoked = || NotRun(Reason::Revoked);
    check(&[], 0, 0, &[revoked(), revoked(), revoked(), revoked()]);
    let started_two = orders(vec![started(1), started(2)], vec![]);
    let done_one = Finished { order: started(1), outcome: Outcome::Done(answer("bale")) };
    let refused_three = Finished { order: started(3), outcome: NotRun(Reason::Journal) };
    let finished = orders(vec![], vec![done_one, refused_three]);
    let journal = [started_two.clone(), finished];
    check(&journal, 0, 0, &[done("bale"), gone(), NotRun(Reason::Journal), revoked()]);
    let late = [started_two.clone(), Body::Revoked { by: 9 }, orders(vec![started(3)], vec![])];
    check(&late, 0, 0, &[gone(), gone(), revoked(), revoked()]);
    let dropped = [started_two.clone(), orders(vec![started(3)], vec![])];
    check(&dropped, 1, 0, &[gone(), gone(), gone(), gone()]);
    check(&dropped, 1, 1, &[revoked(), revoked(), gone(), revoked()]);
}

#[test]
fn other_host_trusts_no_journal_of_a_later_format() {
    let mut bench = Bench::new(Settings::default());
    bench.streams.entry(OTHER_STREAM).or_default().push("{\"format\":2}".into());
    let session = Session { incarnation: OTHER, nonce: 7, journal: Journal::From(0) };
    let ticket = bench.submit(numbered(session, 1), 1);
    bench.feed(Event::ForwardFailed { ticket, gone: true });
    bench.land();
    bench.read(OTHER_STREAM, 0);
    bench.expect(ticket, &Unknown(Reason::IssuerGone));
}

#[test]
fn slow_issuer_is_asked_again_before_it_is_revoked() {
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

#[test]
fn nothing_is_certain_without_the_log_or_a_journal() {
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
    bench.advance(bench::PATIENCE);
    bench.expect(ticket, &Unknown(Reason::IssuerGone));
}

#[test]
fn request_passed_on_is_not_passed_on_again() {
    let mut bench = Bench::new(Settings::default());
    let session = Session { incarnation: OTHER, nonce: 7, journal: Journal::From(0) };
    let ticket = bench
        .submit_with(numbered(session, 1), 1, |it| order::Submission { forwarded: true, ..it });
    bench.expect(ticket, &Unknown(Reason::IssuerGone));
}

#[test]
fn made_up_sessions_do_not_keep_true_orders_from_the_log() {
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
        bench.land();
    }
    bench.read(OWN_STREAM, 0);
    assert!(bench.started(ticket), "two appends later at the latest");
}

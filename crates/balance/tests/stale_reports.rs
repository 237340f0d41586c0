//! Effect of reports, their age and the peers' digests on the choice.

mod common;

use std::time::Instant;

use balance::{Digest, Entry, Outcome, Reason, Report, Settings, UpstreamId};
use common::{SERVICE_TIME, answer, balancer, index, ms, one_by_one};

/// Report of an upstream with a queue.
const BUSY: Report = Report { occupied: 6, queued: 4 };

#[test]
fn idle_beats_busy() {
    let now = Instant::now();
    let mut it = balancer(Settings::default(), 3, 6, now);
    it.report(now, "u0", BUSY);
    it.report(now, "u1", Report { occupied: 1, queued: 0 });
    it.report(now, "u2", BUSY);
    let choice = it.choose(now, &[]).expect("room");
    assert_eq!(index(&choice), 1);
    assert!(choice.runner_up.expect("another").expected > choice.chosen.expected);
}

#[test]
fn reports_decay() {
    let start = Instant::now();
    let mut it = balancer(Settings::default(), 3, 6, start);
    it.report(start, "u0", BUSY);
    let mut now = start + ms(1000);
    let chosen = one_by_one(&mut it, &mut now, 300, 3, |_| (Outcome::Success, SERVICE_TIME));
    assert!(chosen[0] > 30, "{chosen:?}");
}

#[test]
fn own_requests_are_not_others() {
    let now = Instant::now();
    let mut it = balancer(Settings::default(), 1, 6, now);
    for _ in 0..3 {
        let _in_flight = it.choose(now, &[]).expect("room");
    }
    let later = now + ms(5);
    it.report(later, "u0", Report { occupied: 3, queued: 0 });
    let choice = it.choose(later, &[]).expect("room");
    assert!(choice.chosen.others < 0.1, "{:?}", choice.chosen);
    assert_eq!(choice.chosen.own, 3);
}

#[test]
fn digests_expire() {
    let now = Instant::now();
    let mut it = balancer(Settings::default(), 2, 6, now);
    let entries = vec![Entry { upstream: "u0".into(), in_flight: 9 }];
    it.receive_digest(now, "h2".into(), Digest { entries });
    let choice = it.choose(now, &[]).expect("room");
    assert_eq!(index(&choice), 1);
    let others: Vec<UpstreamId> = vec!["u1".into()];
    let others_at = |it: &mut balance::Balancer, now: Instant| {
        it.choose(now, &others).expect("room").chosen.others
    };
    assert!(others_at(&mut it, now) > 8.0);
    assert!(others_at(&mut it, now + ms(400)) < 1.0);
    it.remove_peer("h2");
    assert!(others_at(&mut it, now) < 0.1);
}

#[test]
fn digest_lists_in_flight() {
    let now = Instant::now();
    let mut it = balancer(Settings::default(), 2, 6, now);
    let choice = it.choose(now, &[]).expect("room");
    let upstream = choice.dispatch.upstream().clone();
    assert_eq!(it.digest().entries, [Entry { upstream, in_flight: 1 }]);
    it.finished(now, choice.dispatch, answer(Outcome::Cancelled, SERVICE_TIME, None));
    assert_eq!(it.digest(), Digest::default());
}

#[test]
fn tried_are_skipped() {
    let now = Instant::now();
    let mut it = balancer(Settings::default(), 2, 6, now);
    let tried: Vec<UpstreamId> = vec!["u0".into(), "u1".into()];
    assert_eq!(index(&it.choose(now, &tried[..1]).expect("room")), 1);
    assert_eq!(it.choose(now, &tried).expect_err("all tried").reason, Reason::AllTried);
}

#[test]
fn same_seed_same_choices() {
    let start = Instant::now();
    let run = || {
        let mut now = start;
        let mut it = balancer(Settings::default(), 8, 4, start);
        one_by_one(&mut it, &mut now, 200, 8, |_| (Outcome::Success, SERVICE_TIME))
    };
    assert_eq!(run(), run());
}

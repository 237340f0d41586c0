//! An upstream that is leaving gets no new requests.

mod common;

use std::time::Instant;

use balance::{Outcome, Reason, Settings};
use common::{SERVICE_TIME, answer, balancer, one_by_one, upstreams};

#[test]
fn leaving_gets_nothing() {
    let mut now = Instant::now();
    let mut it = balancer(Settings::default(), 5, 4, now);
    it.set_leaving("u2", true);
    let chosen = one_by_one(&mut it, &mut now, 500, 5, |_| (Outcome::Success, SERVICE_TIME));
    assert_eq!(chosen[2], 0);
    it.set_leaving("u2", false);
    let chosen = one_by_one(&mut it, &mut now, 500, 5, |_| (Outcome::Success, SERVICE_TIME));
    assert!(chosen[2] > 0);
}

#[test]
fn mark_survives_updates() {
    let mut now = Instant::now();
    let mut it = balancer(Settings::default(), 3, 4, now);
    it.set_leaving("u2", true);
    it.set_upstreams(now, upstreams(4, 4));
    let chosen = one_by_one(&mut it, &mut now, 500, 4, |_| (Outcome::Success, SERVICE_TIME));
    assert_eq!(chosen[2], 0);
}

#[test]
fn all_leaving_refuses() {
    let now = Instant::now();
    let mut it = balancer(Settings::default(), 2, 4, now);
    it.set_leaving("u0", true);
    it.set_leaving("u1", true);
    let refusal = it.choose(now, &[]).expect_err("all are leaving");
    assert_eq!(refusal.reason, Reason::NoUpstream);
    assert_eq!(it.capacity(now), 0);
}

#[test]
fn removed_is_ignored() {
    let now = Instant::now();
    let mut it = balancer(Settings::default(), 1, 4, now);
    let choice = it.choose(now, &[]).expect("room");
    it.set_upstreams(now, Vec::new());
    it.finished(now + SERVICE_TIME, choice.dispatch, answer(Outcome::Success, SERVICE_TIME, None));
    assert_eq!(it.choose(now, &[]).expect_err("empty").reason, Reason::NoUpstream);
}

#[test]
fn in_flight_survives_updates() {
    let now = Instant::now();
    let mut it = balancer(Settings::default(), 1, 4, now);
    let choice = it.choose(now, &[]).expect("room");
    it.set_upstreams(now, upstreams(3, 4));
    assert_eq!(it.in_flight("u0"), 1);
    it.finished(now + SERVICE_TIME, choice.dispatch, answer(Outcome::Success, SERVICE_TIME, None));
    assert_eq!(it.in_flight("u0"), 0);
}

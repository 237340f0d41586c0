//! New and readmitted upstreams go through slow start.

mod common;

use std::time::Instant;

use balance::{Balancer, Outcome, Settings};
use common::{SERVICE_TIME, answer, balancer, index, ms, upstreams};

/// Number of requests beyond which the limits are taken to be ineffective.
const FILL_LIMIT: usize = 10_000;

/// Sends requests at `now` until none is accepted; returns those in flight to `upstream`.
fn fill(balancer: &mut Balancer, now: Instant, upstream: &str) -> u32 {
    for _request in 0..FILL_LIMIT {
        if balancer.choose(now, &[]).is_err() {
            return balancer.in_flight(upstream);
        }
    }
    panic!("{FILL_LIMIT} requests were accepted and there is still room");
}

/// Fails requests to the first of `count` upstreams until it is ejected.
fn eject_first(balancer: &mut Balancer, now: &mut Instant, count: usize) {
    let others: Vec<_> = (1..count).map(|i| format!("u{i}").into()).collect();
    while balancer.ejected(*now) == 0 {
        let choice = balancer.choose(*now, &others).expect("room");
        *now += ms(1);
        balancer.finished(*now, choice.dispatch, answer(Outcome::Failure, ms(1), None));
    }
}

fn check(after_ms: u64, expected: std::ops::RangeInclusive<u32>) {
    let start = Instant::now();
    let settings = Settings { slow_start: ms(1000), ..Settings::default() };
    let mut it = balancer(settings, 4, 10, start);
    it.set_upstreams(start, upstreams(5, 10));
    let got = fill(&mut it, start + ms(after_ms), "u4");
    assert!(expected.contains(&got), "{got} in flight {after_ms} ms after the start");
}

#[test]
fn new_starts_low() {
    check(0, 1..=2);
    check(500, 3..=5);
    check(1000, 10..=10);
}

#[test]
fn first_list_is_warm() {
    let now = Instant::now();
    let mut it = balancer(Settings::default(), 4, 10, now);
    assert_eq!(fill(&mut it, now, "u0"), 10);
}

#[test]
fn half_open_is_single() {
    let mut now = Instant::now();
    let mut it = balancer(Settings::default(), 10, 4, now);
    eject_first(&mut it, &mut now, 10);
    now += ms(60_000);
    assert_eq!(fill(&mut it, now, "u0"), 1);
}

#[test]
fn readmitted_starts_low() {
    let mut now = Instant::now();
    let settings = Settings { slow_start: ms(60_000), ..Settings::default() };
    let mut it = balancer(settings, 10, 10, now);
    eject_first(&mut it, &mut now, 10);
    now += ms(60_000);
    let others: Vec<_> = (1..10).map(|i| format!("u{i}").into()).collect();
    let trial = it.choose(now, &others).expect("a half-open upstream");
    assert_eq!(index(&trial), 0);
    now += SERVICE_TIME;
    it.finished(now, trial.dispatch, answer(Outcome::Success, SERVICE_TIME, None));
    assert_eq!(fill(&mut it, now, "u0"), 2);
}

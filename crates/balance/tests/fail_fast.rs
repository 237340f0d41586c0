//! Upstreams that fail fast appear idle, but must not get more requests because of it.

mod common;

use std::time::{Duration, Instant};

use balance::{Outcome, Settings};
use common::{SERVICE_TIME, balancer, ms, one_by_one};

/// Sends requests of which those to the first `failing` of `count` upstreams fail at once, and
/// checks that at most `at_most_percent` percent of all requests fail.
fn check(count: usize, failing: usize, at_most_percent: usize) {
    let mut now = Instant::now();
    let mut it = balancer(Settings::default(), count, 4, now);
    let outcome = |i| {
        if i < failing {
            (Outcome::Failure, Duration::from_micros(200))
        } else {
            (Outcome::Success, SERVICE_TIME)
        }
    };
    let requests = 1000;
    let chosen = one_by_one(&mut it, &mut now, requests, count, outcome);
    let failed: usize = chosen[..failing].iter().sum();
    assert!(failed * 100 <= requests * at_most_percent, "{failed} of {requests} failed");
}

#[test]
fn one_of_many() {
    check(15, 1, 2);
}

#[test]
fn one_of_few() {
    check(2, 1, 5);
}

#[test]
fn several_of_many() {
    check(15, 4, 5);
}

#[test]
fn ejection_is_bounded() {
    for (count, max) in [(2, 0), (4, 1), (10, 3), (15, 4)] {
        let mut now = Instant::now();
        let settings = Settings { base_ejection_time: ms(60_000), ..Settings::default() };
        let mut it = balancer(settings, count, 4, now);
        for _ in 0..1000 {
            one_by_one(&mut it, &mut now, 1, count, |_| (Outcome::Failure, ms(1)));
            assert!(it.ejected(now) <= max, "{} of {count} ejected", it.ejected(now));
        }
        assert_eq!(it.ejected(now), max);
    }
}

#[test]
fn most_failing_are_used() {
    let mut now = Instant::now();
    let settings = Settings { base_ejection_time: ms(60_000), ..Settings::default() };
    let mut it = balancer(settings, 8, 4, now);
    one_by_one(&mut it, &mut now, 2000, 8, |_| (Outcome::Failure, ms(1)));
    assert_eq!(it.ejected(now), 2);
    let chosen = one_by_one(&mut it, &mut now, 2000, 8, |_| (Outcome::Failure, ms(1)));
    assert!(chosen.iter().all(|&it| it > 100), "{chosen:?}");
}

#[test]
fn recovered_is_readmitted() {
    let mut now = Instant::now();
    let mut it = balancer(Settings::default(), 10, 4, now);
    let failing =
        |i| if i == 0 { (Outcome::Failure, ms(1)) } else { (Outcome::Success, SERVICE_TIME) };
    one_by_one(&mut it, &mut now, 1000, 10, failing);
    now += ms(60_000);
    let chosen = one_by_one(&mut it, &mut now, 2000, 10, |_| (Outcome::Success, SERVICE_TIME));
    assert!(chosen[0] > 50, "{chosen:?}");
}

//! Retries and hedges are limited to a share of successes.

use std::time::{Duration, Instant};

use admission::Budget;

/// Requests per second.
const RATE: u32 = 1_000;

/// Sends `RATE` requests a second for `seconds`. Every `fails_each`th fails, as do all its retries,
/// which are repeated as long as the budget allows. Checks that the attempts are at most
/// `max_percent` percent of the requests.
fn check(percent: u8, seconds: u32, fails_each: u32, max_percent: u32) {
    let start = Instant::now();
    let mut budget = Budget::new(start, percent);
    let mut attempts = 0;
    for request in 0..RATE * seconds {
        let now = start + Duration::from_secs(1) * request / RATE;
        attempts += 1;
        if request % fails_each != 0 {
            budget.record_success();
            continue;
        }
        while budget.try_retry(now) {
            attempts += 1;
        }
    }
    let allowed = RATE * seconds * max_percent / 100;
    assert!(attempts <= allowed, "{percent} %: {attempts} attempts, at most {allowed}");
}

#[test]
fn share_limits_retries() {
    check(10, 60, 2, 111);
    check(20, 60, 2, 121);
}

#[test]
fn outage_not_amplified() {
    check(20, 60, 1, 101);
    check(100, 60, 1, 101);
}

#[test]
fn zero_allows_none() {
    check(0, 60, 1, 100);
}

#[test]
fn hedges_leave_reserve() {
    let now = Instant::now();
    let mut budget = Budget::new(now, 10);
    for _ in 0..100_000 {
        budget.record_success();
    }
    let hedges = (0..1_000).take_while(|_| budget.try_hedge(now)).count();
    assert!((1..1_000).contains(&hedges));
    assert!(budget.try_retry(now), "hedges used the reserve for retries");
}

/// A service without successes may retry again after some time.
#[test]
fn idle_service_retries() {
    let now = Instant::now();
    let mut budget = Budget::new(now, 10);
    while budget.try_retry(now) {}
    assert!(budget.try_retry(now + Duration::from_secs(2)));
}

//! Retries and hedges as a share of successes.

use std::time::{Duration, Instant};

use admission::Budget;

const RATE: u32 = 1_000;

/// Sends `RATE` requests a second for `seconds`, of which every `fails_each`th fails and asks for
/// retries as long as they fail too; checks that attempts stay below `most_percent` of requests.
fn check(percent: u8, seconds: u32, fails_each: u32, most_percent: u32) {
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
    let allowed = RATE * seconds * most_percent / 100;
    assert!(attempts <= allowed, "{percent} %: {attempts} attempts, at most {allowed}");
}

#[test]
fn retries_stay_below_their_share() {
    check(10, 60, 2, 111);
    check(20, 60, 2, 121);
}

#[test]
fn an_outage_is_not_amplified() {
    check(20, 60, 1, 101);
    check(100, 60, 1, 101);
}

#[test]
fn a_budget_of_zero_lets_nothing_through() {
    check(0, 60, 1, 100);
}

#[test]
fn hedges_leave_tokens_for_retries() {
    let now = Instant::now();
    let mut budget = Budget::new(now, 10);
    for _ in 0..100_000 {
        budget.record_success();
    }
    let hedges = (0..1_000).take_while(|_| budget.try_hedge(now)).count();
    assert!((1..1_000).contains(&hedges));
    assert!(budget.try_retry(now), "hedges took what retries need");
}

#[test]
fn a_quiet_service_may_retry_again() {
    let now = Instant::now();
    let mut budget = Budget::new(now, 10);
    while budget.try_retry(now) {}
    assert!(budget.try_retry(now + Duration::from_secs(2)));
}

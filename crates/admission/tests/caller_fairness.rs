//! Fairness between the callers of a rank: a flooding caller must not affect the others.

mod bench;

use std::time::Duration;

use admission::Settings;
use bench::{Source, ranks, run};

/// Duration of each run.
const LENGTH: Duration = Duration::from_secs(30);
const SLOTS: f64 = 8.0;
/// Minimum share of requests that must be answered in time.
const IN_TIME: f64 = 0.99;

/// Runs three callers within their fair share alongside one that floods with a demand of
/// `flood_slots`, and checks that the three are served.
fn check(queue_limit: usize, flood_slots: f64, flood_service_ms: u64) {
    let source = |caller, slots: f64, service_ms| {
        let service = Duration::from_millis(service_ms);
        Source {
            rank: "urgent",
            caller,
            rate: slots / service.as_secs_f64(),
            service,
            deadline: Duration::from_millis(500),
            from: Duration::ZERO,
            until: LENGTH,
        }
    };
    let sources = [
        source("a", 1.2, 20),
        source("b", 1.2, 20),
        source("c", 0.5, 20),
        source("flood", flood_slots, flood_service_ms),
    ];
    let settings = Settings { queue_limit, ..Settings::default() };
    let outcomes = run(5, settings, &ranks([40, 20, 10]), 8, &sources, LENGTH * 2);
    for (source, outcome) in sources.iter().zip(&outcomes).take(3) {
        let share = outcome.share_in_time();
        let caller = source.caller;
        assert!(share >= IN_TIME, "limit {queue_limit}: {caller} has {share:.4} in time");
    }
    let used: f64 = outcomes.iter().map(|it| it.mean_slots(LENGTH)).sum();
    assert!(used > 0.95 * SLOTS, "limit {queue_limit}: {used:.2} slots used");
}

#[test]
fn flood_is_contained() {
    check(1_024, 80.0, 20);
}

/// A full queue accepts requests of other callers by displacing those of the flooding one.
#[test]
fn full_queue_displaces() {
    check(16, 80.0, 20);
}

/// Fairness takes the service time into account, not only the number of requests.
#[test]
fn long_requests_weighted() {
    check(1_024, 80.0, 60);
}

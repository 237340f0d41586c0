//! Helpers shared by the tests.

// Each test file compiles this module separately and uses a part of it.
#![allow(dead_code)]

use std::time::{Duration, Instant};

use balance::{Balancer, Choice, Completion, Outcome, Report, Settings, Upstream};

pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(10);
pub(crate) const SEED: u64 = 7;

pub(crate) fn ms(it: u64) -> Duration {
    Duration::from_millis(it)
}

pub(crate) fn upstreams(count: usize, slots: u32) -> Vec<Upstream> {
    let domain = |i: usize| if i.is_multiple_of(2) { "home" } else { "away" };
    (0..count)
        .map(|i| Upstream { id: format!("u{i}").into(), domain: domain(i).into(), slots })
        .collect()
}

pub(crate) fn balancer(settings: Settings, count: usize, slots: u32, now: Instant) -> Balancer {
    Balancer::new(settings, "home".into(), upstreams(count, slots), SEED, now)
}

pub(crate) fn answer(outcome: Outcome, latency: Duration, report: Option<Report>) -> Completion {
    Completion { outcome, latency, report }
}

/// Sends requests one after another; `outcome` gives the outcome and latency for each upstream's
/// index. Returns how often each upstream was chosen.
pub(crate) fn one_by_one(
    balancer: &mut Balancer,
    now: &mut Instant,
    requests: usize,
    count: usize,
    outcome: impl Fn(usize) -> (Outcome, Duration),
) -> Vec<usize> {
    let mut res = vec![0; count];
    for _ in 0..requests {
        let choice = balancer.choose(*now, &[]).expect("there is room");
        let index = index(&choice);
        let (outcome, latency) = outcome(index);
        res[index] += 1;
        *now += latency;
        balancer.finished(*now, choice.dispatch, answer(outcome, latency, None));
    }
    res
}

pub(crate) fn index(choice: &Choice) -> usize {
    choice.dispatch.upstream()[1..].parse().expect("a number")
}

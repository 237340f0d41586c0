//! Limit of requests in flight to an upstream: a single host uses all slots, and six hosts together
//! don't overload it.

mod common;

use std::time::{Duration, Instant};

use balance::{Balancer, Choice, Outcome, Reason, Report, Settings};
use common::{SERVICE_TIME, answer, ms, upstreams};

/// Resolution of the simulated time.
const STEP: Duration = Duration::from_millis(1);

/// A request that is in progress or waits.
struct Job {
    host: usize,
    choice: Choice,
    remaining_ms: u32,
}

/// Runs hosts that always have more requests than one upstream can process. Returns the mean and
/// the maximum number of requests at the upstream in the second half of the run.
fn saturate(hosts: usize, slots: usize, steps: usize) -> (f64, usize) {
    let start = Instant::now();
    let mut rng = fastrand::Rng::with_seed(common::SEED);
    let count = u32::try_from(hosts).expect("few hosts");
    let settings = Settings { hosts: count, ..Settings::default() };
    let slots_u32 = u32::try_from(slots).expect("few slots");
    let mut balancers: Vec<Balancer> = (0..hosts as u64)
        .map(|seed| {
            let list = upstreams(1, slots_u32);
            Balancer::new(settings.clone(), "home".into(), list, seed, start)
        })
        .collect();
    let mut jobs: Vec<Job> = Vec::new();
    let (mut sum, mut max) = (0, 0);
    for step in 0..steps {
        let now = start + STEP * u32::try_from(step).expect("few steps");
        jobs.iter_mut()
            .take(slots)
            .for_each(|it| it.remaining_ms = it.remaining_ms.saturating_sub(1));
        while let Some(found) = jobs.iter().take(slots).position(|it| it.remaining_ms == 0) {
            let Job { host, choice, .. } = jobs.remove(found);
            let latency = now - choice.dispatch.at();
            let occupied = u32::try_from(jobs.len().min(slots)).expect("few");
            let queued = u32::try_from(jobs.len()).expect("few") - occupied;
            let report = Some(Report { occupied, queued });
            balancers[host].finished(
                now,
                choice.dispatch,
                answer(Outcome::Success, latency, report),
            );
        }
        for (host, balancer) in balancers.iter_mut().enumerate() {
            while let Ok(choice) = balancer.choose(now, &[]) {
                jobs.push(Job { host, choice, remaining_ms: rng.u32(5..15) });
            }
        }
        if step >= steps / 2 {
            sum += jobs.len();
            max = max.max(jobs.len());
        }
    }
    let samples = u32::try_from(steps - steps / 2).expect("few steps");
    (f64::from(u32::try_from(sum).expect("small")) / f64::from(samples), max)
}

#[test]
fn single_host_uses_all() {
    for slots in [1, 4, 6, 20] {
        let (mean, max) = saturate(1, slots, 4000);
        let slots_f64 = f64::from(u32::try_from(slots).expect("few"));
        assert!(mean > 0.99 * slots_f64 && max <= slots, "mean {mean}, max {max} of {slots}");
    }
}

#[test]
fn six_hosts_share() {
    for slots in [4, 6, 20] {
        let (mean, max) = saturate(6, slots, 20_000);
        let slots_f64 = f64::from(u32::try_from(slots).expect("few"));
        assert!(mean > 0.95 * slots_f64, "mean {mean} of {slots}");
        assert!(mean < 2.0 * slots_f64 && max <= 3 * slots, "mean {mean}, max {max} of {slots}");
    }
}

#[test]
fn full_refuses() {
    let now = Instant::now();
    let mut it = common::balancer(Settings::default(), 2, 3, now);
    for _ in 0..6 {
        let _in_flight = it.choose(now, &[]).expect("room");
    }
    let refusal = it.choose(now, &[]).expect_err("full");
    assert_eq!(refusal.reason, Reason::Full);
    assert!(refusal.retry_after > Duration::ZERO);
    assert_eq!(it.capacity(now), 6);
}

#[test]
fn old_reports_expire() {
    let now = Instant::now();
    let mut it = common::balancer(Settings::default(), 1, 4, now);
    for _ in 0..100 {
        it.report(now, "u0", Report { occupied: 4, queued: 50 });
    }
    assert_eq!(it.choose(now, &[]).expect_err("full").reason, Reason::Full);
    assert!(it.choose(now + ms(5_000), &[]).is_ok());
}

#[test]
fn overload_halves() {
    let mut now = Instant::now();
    let mut it = common::balancer(Settings::default(), 1, 8, now);
    for expected in [4, 2, 1, 1] {
        let choice = it.choose(now, &[]).expect("room");
        now += SERVICE_TIME;
        it.finished(now, choice.dispatch, answer(Outcome::Overload, SERVICE_TIME, None));
        assert_eq!(it.capacity(now), expected);
    }
}

//! Probes stay within the budget for any sequence of calls.

mod common;

use std::time::{Duration, Instant};

use balance::{Outcome, Report, Settings};
use common::{SEED, SERVICE_TIME, answer, balancer, ms, upstreams};
use quickcheck::{Arbitrary, Gen};

/// A call that may lead to a probe or change the budget.
#[derive(Clone, Debug)]
enum Call {
    Wait(u16),
    Probe,
    Choose,
    Report(u8),
    SetHosts(u8),
    SetBudget(u8),
    Update(u8),
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 10 {
            0 | 1 => Self::Wait(u16::arbitrary(g) % 500),
            2 => Self::Choose,
            3 => Self::Report(u8::arbitrary(g)),
            4 => Self::SetHosts(u8::arbitrary(g)),
            5 => Self::SetBudget(u8::arbitrary(g) % 100),
            6 => Self::Update(u8::arbitrary(g) % 20),
            _ => Self::Probe,
        }
    }
}

/// Makes the calls; returns whether the probes granted never exceeded the budget up to then.
fn keeps_budget(calls: Vec<Call>) -> bool {
    let mut now = Instant::now();
    let (mut budget, mut hosts, mut allowed) = (40.0, 6.0, 0.0);
    let settings =
        Settings { hosts: 6, probe_budget_per_s: budget, probe_burst: 3, ..Settings::default() };
    let mut it = balancer(settings, 10, 4, now);
    let mut probes = 0_u32;
    for call in calls {
        match call {
            Call::Wait(time) => {
                now += ms(u64::from(time));
                allowed += f64::from(time) / 1e3 * budget / hosts;
            }
            Call::Probe => probes += u32::from(it.probe(now).is_some()),
            Call::Choose => {
                if let Ok(choice) = it.choose(now, &[]) {
                    it.finished(now, choice.dispatch, answer(Outcome::Failure, SERVICE_TIME, None));
                }
            }
            Call::Report(load) => {
                it.report(now, "u1", Report { occupied: u32::from(load), queued: 0 });
            }
            Call::SetHosts(count) => {
                hosts = f64::from(count.max(1));
                it.set_hosts(now, u32::from(count));
            }
            Call::SetBudget(per_s) => {
                budget = f64::from(per_s);
                it.set_probe_budget(now, budget);
            }
            Call::Update(count) => it.set_upstreams(now, upstreams(usize::from(count), 4)),
        }
        if f64::from(probes) > allowed + 1e-9 || it.probes() != u64::from(probes) {
            return false;
        }
    }
    true
}

#[test]
fn never_exceeded() {
    let mut g = Gen::from_size_and_seed(200, SEED);
    for _ in 0..500 {
        let calls = Vec::<Call>::arbitrary(&mut g);
        assert!(keeps_budget(calls.clone()), "{calls:?}");
    }
}

fn probes_in_10_s(budget_per_s: f64, hosts: u32) -> usize {
    let start = Instant::now();
    let settings = Settings { probe_budget_per_s: budget_per_s, hosts, ..Settings::default() };
    let mut it = balancer(settings, 10, 4, start);
    let tick = |i: u32| start + Duration::from_millis(1) * i;
    (0..=10_000).filter(|i| it.probe(tick(*i)).is_some()).count()
}

#[test]
fn budget_is_used() {
    for (budget_per_s, hosts, expected) in [(0.0, 1, 0), (12.0, 1, 120), (12.0, 6, 20)] {
        let got = probes_in_10_s(budget_per_s, hosts);
        assert!(got <= expected && got + 1 >= expected, "{got} of {expected}");
    }
}

#[test]
fn fresh_needs_no_probe() {
    let start = Instant::now();
    let settings = Settings { probe_budget_per_s: 1000.0, ..Settings::default() };
    let mut it = balancer(settings, 1, 4, start);
    let now = start + ms(1000);
    it.report(now, "u0", Report::default());
    assert_eq!(it.probe(now), None);
    assert_eq!(it.probe(now + ms(1000)).as_deref(), Some("u0"));
}

//! Load probes stay within the operators' budget.

use std::time::{Duration, Instant};

use fleet::{Fleet, Service, Settings, await_condition};
use standin::backend::Backend;

/// Time for which probes are counted.
const COUNT_TIME: Duration = Duration::from_millis(600);

/// Probe budget of three hosts together, in probes per second.
const FLEET_BUDGET_PER_S: f64 = 10.0;

/// Returns the number of probes sent for a service, and the number that its budget allows.
fn check(budget_per_s: f64, wanted: u64) -> (u64, f64) {
    let extra = format!("probe_budget_per_s = {budget_per_s}");
    let service = Service { extra_keys: extra, ..Service::default() };
    let started = Instant::now();
    let settings = Settings { services: vec![service], ..Settings::default() };
    let fleet = Fleet::start(settings).expect("fleet starts");
    let probes = || fleet.backends[0].iter().map(Backend::probes).sum::<u64>();
    await_condition(Duration::from_secs(10), "probes", || probes() >= wanted)
        .expect("probes are sent");
    std::thread::sleep(COUNT_TIME);
    let sent = probes();
    // The token bucket may have held one probe.
    (sent, 1.0 + budget_per_s * started.elapsed().as_secs_f64())
}

#[test]
fn small_budget() {
    let (sent, allowed) = check(10.0, 3);
    assert!(sent as f64 <= allowed, "{sent} probes, {allowed} allowed");
}

/// Hosts that start together have not discovered each other yet; each must not spend the whole
/// budget.
#[test]
fn three_hosts() {
    let extra = format!("probe_budget_per_s = {FLEET_BUDGET_PER_S}");
    let service = Service { extra_keys: extra, ..Service::default() };
    let settings = Settings { daemons: 3, services: vec![service], ..Settings::default() };
    let fleet = Fleet::start(settings).expect("fleet starts");
    let probes = || fleet.backends[0].iter().map(Backend::probes).sum::<u64>();
    await_condition(Duration::from_secs(30), "probes", || probes() > 0).expect("probes are sent");
    let seen = Instant::now();
    std::thread::sleep(2 * COUNT_TIME);
    let sent = probes();
    // Each host's token bucket may have held one probe.
    let allowed = 3.0 + FLEET_BUDGET_PER_S * seen.elapsed().as_secs_f64();
    assert!(sent as f64 <= allowed, "{sent} probes, {allowed} allowed");
}

#[test]
fn no_budget() {
    assert_eq!(check(0.0, 0).0, 0);
}

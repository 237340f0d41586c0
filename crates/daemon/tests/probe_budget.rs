//! Load probes stay within the operators' budget.

use std::time::{Duration, Instant};

use fleet::{Fleet, Service, Settings, await_condition};
use standin::backend::Backend;

/// Time that the probes are counted for.
const WATCH: Duration = Duration::from_millis(600);

/// Probes a second for three hosts together.
const FLEET_BUDGET_PER_S: f64 = 10.0;

/// Counts the probes of a service with a budget and returns them with the most that are allowed.
fn check(budget_per_s: f64, wanted: u64) -> (u64, f64) {
    let extra = format!("probe_budget_per_s = {budget_per_s}");
    let service = Service { extra_keys: extra, ..Service::default() };
    let started = Instant::now();
    let settings = Settings { services: vec![service], ..Settings::default() };
    let fleet = Fleet::start(settings).expect("fleet starts");
    let probes = || fleet.backends[0].iter().map(Backend::probes).sum::<u64>();
    await_condition(Duration::from_secs(10), "probes", || probes() >= wanted)
        .expect("probes are sent");
    std::thread::sleep(WATCH);
    let sent = probes();
    // One probe may have been saved up.
    (sent, 1.0 + budget_per_s * started.elapsed().as_secs_f64())
}

#[test]
fn small_budget() {
    let (sent, allowed) = check(10.0, 3);
    assert!(sent as f64 <= allowed, "{sent} probes, {allowed} allowed");
}

/// Hosts that start together don't know each other at first; they must not each spend it all.
#[test]
fn three_hosts() {
    let extra = format!("probe_budget_per_s = {FLEET_BUDGET_PER_S}");
    let service = Service { extra_keys: extra, ..Service::default() };
    let settings = Settings { daemons: 3, services: vec![service], ..Settings::default() };
    let fleet = Fleet::start(settings).expect("fleet starts");
    let probes = || fleet.backends[0].iter().map(Backend::probes).sum::<u64>();
    await_condition(Duration::from_secs(30), "probes", || probes() > 0).expect("probes are sent");
    let seen = Instant::now();
    std::thread::sleep(2 * WATCH);
    let sent = probes();
    // Each host may have saved one up.
    let allowed = 3.0 + FLEET_BUDGET_PER_S * seen.elapsed().as_secs_f64();
    assert!(sent as f64 <= allowed, "{sent} probes, {allowed} allowed");
}

#[test]
fn no_budget() {
    assert_eq!(check(0.0, 0).0, 0);
}

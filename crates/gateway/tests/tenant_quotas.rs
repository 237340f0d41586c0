//! Quotas at one daemon: refusals, `Retry-After`, bounded state, and the daemon's own part in the
//! exchange with its peers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use gateway::{
    Settings,
    config::{Config, Tenant},
    gateway::Gateway,
    peer::{Packet, TenantDemands},
    rate::{Demand, Quotas, Terms, tenant_key},
};

const SECOND: Duration = Duration::from_secs(1);

fn tenant(id: &str, rate_per_s: f64, burst: f64) -> Tenant {
    Tenant { id: id.into(), keys: Vec::new(), priority: None, rate_per_s, burst }
}

/// A daemon that has run for a while, without peers in a fleet of its own.
fn quotas(now: Instant) -> Quotas {
    let mut res = Quotas::new(now.checked_sub(SECOND * 20).unwrap(), Terms::default());
    res.set_fleet(now, 1.0, 0, 0);
    res
}

/// A request is admitted after the time that a refusal names, and not much earlier.
#[test]
fn true_retry_after() {
    let mut now = Instant::now() + SECOND * 30;
    let mut quotas = quotas(now);
    let tenant = tenant("a", 4.0, 10.0);
    let mut waits = Vec::new();
    while waits.len() < 20 {
        match quotas.take(now, &tenant) {
            Ok(()) => now += Duration::from_millis(20),
            Err(wait) => {
                assert!((Duration::from_millis(50)..=SECOND * 2).contains(&wait), "{wait:?}");
                now += wait;
                waits.push(quotas.take(now, &tenant).is_ok() || wait == SECOND * 2);
            }
        }
    }
    assert!(waits.iter().all(|it| *it), "{waits:?}");
}

/// Without a rate, nothing is refused or kept.
#[test]
fn no_limit() {
    let now = Instant::now() + SECOND * 30;
    let mut quotas = quotas(now);
    assert!((0..10_000).all(|_| quotas.take(now, &tenant("a", 0.0, 0.0)).is_ok()));
    assert_eq!(quotas.account_count(), 0);
}

/// Thousands of tenants leave no state once they send nothing.
#[test]
fn bounded_state() {
    let now = Instant::now() + SECOND * 30;
    let mut quotas = quotas(now);
    for number in 0..5_000 {
        quotas.take(now, &tenant(&format!("t{number}"), 1.0, 1.0)).unwrap();
    }
    let demands: Vec<_> =
        (0..5_000).map(|tenant| Demand { tenant, spent: 1, silent: 0, rate: 1 }).collect();
    quotas.record(now, 7, SECOND * 60, 1, &demands);
    assert_eq!(quotas.account_count(), 10_000);
    for step in 1..100 {
        quotas.set_fleet(now + SECOND / 10 * step, 1.0, 0, 0);
        drop(quotas.report(now + SECOND / 10 * step));
    }
    assert_eq!(quotas.account_count(), 0);
}

/// What peers have admitted counts, a report that arrives late does not replace a later one, and absurd
/// values do no harm.
#[test]
fn peers_reports() {
    let now = Instant::now() + SECOND * 30;
    let mut quotas = quotas(now);
    quotas.set_fleet(now, 1.0, 1, 1);
    let tenant = tenant("a", 10.0, 0.0);
    let demand = |spent| [Demand { tenant: tenant_key("a"), spent, silent: 0, rate: 1 }];
    quotas.record(now, 7, SECOND * 60, 2, &demand(100));
    quotas.record(now, 7, SECOND * 60, 1, &demand(0));
    quotas.set_fleet(now, 1.0, 1, 1);
    assert!(quotas.take(now, &tenant).is_err(), "the peer has used the quota");
    quotas.record(now, 7, SECOND * 60, 3, &demand(0));
    assert!(quotas.take(now, &tenant).is_ok());
    let absurd = Demand { tenant: 1, spent: u32::MAX, silent: u32::MAX, rate: u32::MAX };
    for host in 0..100 {
        quotas.record(now, host, Duration::MAX, u32::MAX, &[absurd]);
    }
    assert!(quotas.report(now).1.len() <= 2);
}

/// Reports fit into datagrams that are not fragmented on the way.
#[test]
fn small_datagrams() {
    let demand = Demand { tenant: u32::MAX, spent: 1 << 20, silent: 1 << 20, rate: 1 << 20 };
    let parts = TenantDemands::split(u64::MAX, u32::MAX, u32::MAX, &vec![demand; 1_000]);
    assert_eq!(parts.iter().map(|it| it.demands.len()).sum::<usize>(), 1_000);
    for it in parts {
        let len = postcard::to_allocvec(&Packet::Demand(it)).unwrap().len();
        assert!(len <= 1_400, "{len} bytes");
    }
    assert_eq!(TenantDemands::split(1, 2, 3, &[]).len(), 1, "says that the sender runs");
}

/// A daemon takes from the quotas of its configuration, counts the outcome, and sends nothing without
/// quotas.
#[test]
fn gateway_takes() {
    let gateway = Gateway::new(
        Settings::default(),
        Arc::new(clock::System),
        gateway::wire::Protocol {
            names: gateway::wire::Names::default(),
            parse_load: |_| None,
            directory: |_, _| String::new(),
        },
        1,
    );
    let now = gateway.now();
    assert!(gateway.demands_to_send(now).is_none());
    let tenant = tenant("a", 2.0, 1.0);
    let tenants = Some(vec![tenant.clone()]);
    gateway.set_config(Config { version: 1, tenants, ..Config::default() }, "test");
    let admitted = (0..100).filter(|_| gateway.take_quota(now, &tenant).is_ok()).count();
    assert!((1..=32).contains(&admitted), "{admitted}");
    let text = gateway.metrics.text();
    assert!(text.contains("fireflydrum_quota_requests_total{outcome=\"refused\"}"), "{text}");
    let (to, parts) = gateway.demands_to_send(now).expect("a report");
    assert!(to.is_empty() && parts[0].demands.len() == 1);
}

//! Loads of peers: estimates by domain, rotation, and loads that are ignored.

mod fleet;

use std::time::Duration;

use fleet::Fleet;
use member::{Domain, Estimate, Load};

fn estimate(fleet: &mut Fleet, domain: Option<&str>) -> Estimate {
    let now = fleet.now;
    let domain = domain.map(Domain::from);
    fleet.table(0).estimate(7, domain.as_ref(), now)
}

#[test]
fn means_by_domain() {
    let mut fleet = Fleet::new(8, 1);
    for host in 0..8 {
        let load = Load { service: 7, in_flight: u32::from(host), queued: 10 * u32::from(host) };
        fleet.table(host).set_loads(vec![load]);
    }
    fleet.run(Duration::from_secs(30));
    let all = estimate(&mut fleet, None);
    assert_eq!(all, Estimate { daemons: 7, in_flight: 4.0, queued: 40.0 });
    let local = estimate(&mut fleet, Some("domain-1"));
    assert_eq!(local, Estimate { daemons: 2, in_flight: 3.0, queued: 30.0 });
    assert_eq!(estimate(&mut fleet, Some("elsewhere")), Estimate::default());
}

/// When there are more services than fit into a message, all loads are sent in rotation.
#[test]
fn sent_in_rotation() {
    let mut fleet = Fleet::new(2, 1);
    let loads = (0..130).map(|it| Load { service: it, in_flight: u32::from(it), queued: 0 });
    fleet.table(1).set_loads(loads.collect());
    fleet.run(Duration::from_secs(20));
    let now = fleet.now;
    for it in 0..130 {
        let seen = fleet.table(0).estimate(it, None, now);
        assert_eq!((seen.daemons, seen.in_flight), (1, f64::from(it)), "service {it}");
    }
}

/// Loads of another version and expired loads are ignored.
#[test]
fn ignored_loads() {
    let mut fleet = Fleet::new(3, 1);
    fleet.run(Duration::from_secs(10));
    assert_eq!(estimate(&mut fleet, None).daemons, 2);
    fleet.table(1).set_version(2);
    fleet.run(Duration::from_secs(5));
    assert_eq!(estimate(&mut fleet, None).daemons, 1);
    fleet.stop(2);
    fleet.run(Duration::from_secs(15));
    assert_eq!(estimate(&mut fleet, None).daemons, 0);
}

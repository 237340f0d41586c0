//! Fleets of all sizes find themselves, and the cost for a host does not grow with them.

mod fleet;

use std::{collections::BTreeMap, time::Duration};

use fleet::{Fleet, address};
use member::{Listing, Settings, Table};

/// Control traffic that a daemon may cause, in bytes a second.
const TRAFFIC_LIMIT_BYTES: u64 = 21_000;

/// Time over which traffic and silence are watched.
const SECONDS: u64 = 20;

/// Starts `hosts` at once; once all know all, nobody is silent for too long to anyone, and the
/// busiest host stays within its traffic.
fn check(hosts: u16, join_limit: Duration) {
    let mut fleet = Fleet::new(hosts, 7);
    fleet.run(join_limit);
    for it in 0..hosts {
        assert_eq!(fleet.named(it), usize::from(hosts), "host {it} of {hosts}");
    }

    fleet.traffic = Some(BTreeMap::new());
    let mut worst = Duration::ZERO;
    for _ in 0..SECONDS {
        fleet.run(Duration::from_secs(1));
        let members = fleet.tables.values().flat_map(Table::members);
        worst = worst.max(members.map(|it| it.heartbeat_age(fleet.now)).max().unwrap());
    }
    let traffic = fleet.traffic.unwrap();
    let bytes = traffic.values().map(|it| it.bytes / SECONDS).max().unwrap();
    let messages = traffic.values().map(|it| it.messages / SECONDS).max().unwrap();
    println!("{hosts} hosts: worst silence {worst:?}, {messages} messages/s, {bytes} B/s");
    assert!(bytes < TRAFFIC_LIMIT_BYTES, "{bytes} B/s with {hosts} hosts");
    assert!(worst < Settings::default().suspect_after, "{worst:?} with {hosts} hosts");
}

#[test]
fn fleets_of_all_sizes() {
    for (hosts, join_limit) in [(6, 10), (24, 30), (96, 40)] {
        check(hosts, Duration::from_secs(join_limit));
    }
}

/// A host that starts later is known to all others soon.
#[test]
fn late_host() {
    let mut fleet = Fleet::new(24, 3);
    fleet.run(Duration::from_secs(30));
    fleet.start(30, 5_000);
    fleet.run(Duration::from_secs(10));
    assert_eq!((fleet.naming(30), fleet.named(30)), (24, 25));
}

/// Seeds that are down do not matter once the host list names others.
#[test]
fn seeds_down() {
    let mut fleet = Fleet::new(6, 3);
    fleet.run(Duration::from_secs(10));
    fleet.stop(0);
    fleet.stop(1);
    fleet.start(7, 5_000);
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.naming(7), 0);
    let now = fleet.now;
    let listed = [Listing { address: address(3), leaving: false }];
    fleet.table(7).set_host_list(&listed, now);
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.naming(7), 4);
}

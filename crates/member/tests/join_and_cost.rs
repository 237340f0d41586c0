//! Hosts join fleets of all sizes, and the cost per host does not grow with the fleet.

mod fleet;

use std::{collections::BTreeMap, time::Duration};

use fleet::{Fleet, address};
use member::{Listing, Settings, Table};

/// Maximum control traffic of a daemon, in bytes per second.
const TRAFFIC_LIMIT_BYTES: u64 = 21_000;

/// Time over which traffic and heartbeat ages are measured, in seconds.
const SECONDS: u64 = 20;

/// Starts `hosts` hosts at the same time. After `join_limit` all must list all; then no heartbeat
/// age reaches the suspicion limit, and no host exceeds its traffic limit.
fn check(hosts: u16, join_limit: Duration) {
    let mut fleet = Fleet::new(hosts, 7);
    fleet.run(join_limit);
    for it in 0..hosts {
        assert_eq!(fleet.listed(it), usize::from(hosts), "host {it} of {hosts}");
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
    println!("{hosts} hosts: maximum heartbeat age {worst:?}, {messages} messages/s, {bytes} B/s");
    assert!(bytes < TRAFFIC_LIMIT_BYTES, "{bytes} B/s with {hosts} hosts");
    assert!(worst < Settings::default().suspect_after, "{worst:?} with {hosts} hosts");
}

#[test]
fn fleets_of_all_sizes() {
    for (hosts, join_limit) in [(6, 10), (24, 30), (96, 40)] {
        check(hosts, Duration::from_secs(join_limit));
    }
}

/// A host that starts later is listed by all others within 10 s.
#[test]
fn late_host() {
    let mut fleet = Fleet::new(24, 3);
    fleet.run(Duration::from_secs(30));
    fleet.start(30, 5_000);
    fleet.run(Duration::from_secs(10));
    assert_eq!((fleet.listing_hosts(30), fleet.listed(30)), (24, 25));
}

/// A host whose seeds are down joins once the host list contains others.
#[test]
fn seeds_down() {
    let mut fleet = Fleet::new(6, 3);
    fleet.run(Duration::from_secs(10));
    fleet.stop(0);
    fleet.stop(1);
    fleet.start(7, 5_000);
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.listing_hosts(7), 0);
    let now = fleet.now;
    let list = [Listing { address: address(3), leaving: false }];
    fleet.table(7).set_host_list(&list, now);
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.listing_hosts(7), 4);
}

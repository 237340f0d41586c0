//! Crashes, one-way and two-way network partitions, pauses and flapping.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, address};

/// Time within which all hosts must have joined.
const JOIN_TIME: Duration = Duration::from_secs(30);
/// Time within which all hosts must have removed a crashed host from their directions.
const DETECTION_LIMIT: Duration = Duration::from_secs(12);

fn joined(hosts: u16) -> Fleet {
    let mut fleet = Fleet::new(hosts, 11);
    fleet.run(JOIN_TIME);
    assert_eq!(fleet.listing_hosts(2), usize::from(hosts) - 1);
    fleet
}

#[test]
fn crashed_host() {
    for hosts in [6, 24] {
        let mut fleet = joined(hosts);
        fleet.stop(2);
        fleet.run(DETECTION_LIMIT);
        assert_eq!(fleet.listing_hosts(2), 0, "{hosts} hosts");
    }
}

/// A host that only some peers can't reach stays in the directions, because callers may reach it.
#[test]
fn cut_links() {
    for both_ways in [false, true] {
        let mut fleet = joined(6);
        fleet.cut(3, 2);
        if both_ways {
            fleet.cut(2, 3);
        }
        fleet.run(Duration::from_mins(1));
        assert_eq!(
            (fleet.listing_hosts(2), fleet.listing_hosts(3)),
            (5, 5),
            "both ways: {both_ways}"
        );
    }
}

/// A host all of whose outgoing messages are lost is removed, and is listed again once they arrive.
#[test]
fn lost_outgoing() {
    let mut fleet = joined(6);
    for it in [0, 1, 3, 4, 5] {
        fleet.cut(2, it);
    }
    fleet.run(DETECTION_LIMIT);
    assert_eq!(
        fleet.listing_hosts(2),
        0,
        "no message of the host arrives, so no host can refresh it"
    );
    fleet.cut.clear();
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.listing_hosts(2), 5);
}

/// A daemon that is partitioned from all others lists them nevertheless, after itself.
#[test]
fn isolated_daemon() {
    let mut fleet = joined(6);
    for it in [0, 1, 3, 4, 5] {
        fleet.cut(2, it);
        fleet.cut(it, 2);
    }
    fleet.run(DETECTION_LIMIT);
    let now = fleet.now;
    let directions = fleet.table(2).directions("caller", None, now);
    assert_eq!((directions.len(), directions[0].address), (6, address(2)));
    assert_eq!(fleet.listed(0), 5);
}

/// After a partition into two halves has healed, all hosts list each other again.
#[test]
fn healed_halves() {
    let mut fleet = joined(24);
    for a in 0..12 {
        for b in 12..24 {
            fleet.cut(a, b);
            fleet.cut(b, a);
        }
    }
    fleet.run(Duration::from_mins(3));
    assert_eq!(fleet.listing_hosts(2), 11);
    fleet.cut.clear();
    fleet.run(Duration::from_mins(1));
    assert_eq!((fleet.listing_hosts(2), fleet.listing_hosts(20)), (23, 23));
}

/// A paused daemon does not suspect the others when it resumes.
#[test]
fn paused_daemon() {
    let mut fleet = joined(6);
    fleet.paused.insert(address(2));
    fleet.run(DETECTION_LIMIT);
    assert_eq!(fleet.listing_hosts(2), 0);
    fleet.paused.clear();
    let now = fleet.now;
    fleet.table(2).tick(now);
    assert_eq!(fleet.listed(2), 6);
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.listing_hosts(2), 5);
}

/// A flapping host is damped for longer each time, and is listed again once it is stable.
#[test]
fn flapping_host() {
    let mut fleet = joined(6);
    for _ in 0..6 {
        fleet.paused.insert(address(2));
        fleet.run(DETECTION_LIMIT);
        fleet.paused.clear();
        fleet.run(Duration::from_secs(3));
    }
    assert_eq!(fleet.listing_hosts(2), 0);
    fleet.run(Duration::from_mins(1));
    assert_eq!(fleet.listing_hosts(2), 5);
}

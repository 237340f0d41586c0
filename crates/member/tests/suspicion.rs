//! Silence, cuts in one or both ways, pauses and flapping.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, address};

const JOINED: Duration = Duration::from_secs(30);
/// Time by which every directory must have dropped a dead host.
const SUSPECTED: Duration = Duration::from_secs(12);

fn joined(hosts: u16) -> Fleet {
    let mut fleet = Fleet::new(hosts, 11);
    fleet.run(JOINED);
    assert_eq!(fleet.naming(2), usize::from(hosts) - 1);
    fleet
}

#[test]
fn dead_host() {
    for hosts in [6, 24] {
        let mut fleet = joined(hosts);
        fleet.stop(2);
        fleet.run(SUSPECTED);
        assert_eq!(fleet.naming(2), 0, "{hosts} hosts");
    }
}

/// Whom only some can't reach stays in the directions: callers can.
#[test]
fn cut_links() {
    for both_ways in [false, true] {
        let mut fleet = joined(6);
        fleet.cut(3, 2);
        if both_ways {
            fleet.cut(2, 3);
        }
        fleet.run(Duration::from_mins(1));
        assert_eq!((fleet.naming(2), fleet.naming(3)), (5, 5), "both ways: {both_ways}");
    }
}

/// A host that can only receive is not dropped: others hear its answers.
#[test]
fn deaf_ways() {
    let mut fleet = joined(6);
    for it in [0, 1, 3, 4, 5] {
        fleet.cut(2, it);
    }
    fleet.run(SUSPECTED);
    assert_eq!(fleet.naming(2), 0, "nothing leaves the host, so nobody can vouch for it");
    fleet.cut.clear();
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.naming(2), 5);
}

/// A daemon that is cut off from all distrusts itself: it names the others after itself.
#[test]
fn isolated_daemon() {
    let mut fleet = joined(6);
    for it in [0, 1, 3, 4, 5] {
        fleet.cut(2, it);
        fleet.cut(it, 2);
    }
    fleet.run(SUSPECTED);
    let now = fleet.now;
    let directions = fleet.table(2).directions("caller", None, now);
    assert_eq!((directions.len(), directions[0].address), (6, address(2)));
    assert_eq!(fleet.named(0), 5);
}

/// After a cut between two halves each comes back to the other.
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
    assert_eq!(fleet.naming(2), 11);
    fleet.cut.clear();
    fleet.run(Duration::from_mins(1));
    assert_eq!((fleet.naming(2), fleet.naming(20)), (23, 23));
}

/// A paused daemon does not take the others for dead when it wakes.
#[test]
fn paused_daemon() {
    let mut fleet = joined(6);
    fleet.paused.insert(address(2));
    fleet.run(SUSPECTED);
    assert_eq!(fleet.naming(2), 0);
    fleet.paused.clear();
    let now = fleet.now;
    fleet.table(2).tick(now);
    assert_eq!(fleet.named(2), 6);
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.naming(2), 5);
}

/// A host that comes and goes is held back for longer each time, and trusted again in the end.
#[test]
fn flapping_host() {
    let mut fleet = joined(6);
    for _ in 0..6 {
        fleet.paused.insert(address(2));
        fleet.run(SUSPECTED);
        fleet.paused.clear();
        fleet.run(Duration::from_secs(3));
    }
    assert_eq!(fleet.naming(2), 0);
    fleet.run(Duration::from_mins(1));
    assert_eq!(fleet.naming(2), 5);
}

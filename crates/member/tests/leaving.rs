//! Leaving is believed at once, from the host itself or from the host list.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, address};
use member::{Listing, Phase};

/// Time by which every directory must have dropped a leaving host.
const KNOWN: Duration = Duration::from_secs(4);

fn joined(hosts: u16) -> Fleet {
    let mut fleet = Fleet::new(hosts, 5);
    fleet.run(Duration::from_secs(40));
    fleet
}

fn mark(fleet: &mut Fleet, at: u16, host: u16, leaving: bool) {
    let now = fleet.now;
    fleet.table(at).set_host_list(&[Listing { address: address(host), leaving }], now);
}

#[test]
fn told_by_itself() {
    for hosts in [6, 24, 96] {
        let mut fleet = joined(hosts);
        assert_eq!(fleet.naming(2), usize::from(hosts) - 1);
        fleet.set_phase(2, Phase::Leaving);
        assert!(!fleet.names(2, 2));
        fleet.run(KNOWN);
        assert_eq!(fleet.naming(2), 0, "{hosts} hosts");
    }
}

/// One daemon sees the mark, all others learn of it, though their list lags.
#[test]
fn told_by_list() {
    let mut fleet = joined(24);
    mark(&mut fleet, 9, 2, true);
    assert!(!fleet.names(9, 2));
    fleet.run(KNOWN);
    let still: Vec<_> = (0..24).filter(|it| *it != 2 && fleet.names(*it, 2)).collect();
    assert!(still.is_empty(), "{still:?}");
}

/// A list that goes back and forth does not bring a leaving host back.
#[test]
fn mark_is_final() {
    let mut fleet = joined(6);
    mark(&mut fleet, 3, 2, true);
    mark(&mut fleet, 3, 2, false);
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.naming(2), 0);
}

/// A new daemon on a host whose old mark still lags waits for the list, and no longer.
#[test]
fn mark_of_predecessor() {
    let mut fleet = joined(6);
    mark(&mut fleet, 3, 2, true);
    fleet.start(2, 9_000);
    fleet.run(Duration::from_secs(10));
    assert!(!fleet.names(3, 2));
    assert!(fleet.names(4, 2));
    mark(&mut fleet, 3, 2, false);
    assert!(fleet.names(3, 2));
}

#[test]
fn own_mark() {
    let mut fleet = joined(6);
    mark(&mut fleet, 2, 2, true);
    assert!(fleet.table(2).is_marked_leaving());
    assert!(!fleet.names(2, 2));
}

/// A phase never goes back.
#[test]
fn no_way_back() {
    let mut fleet = joined(6);
    fleet.set_phase(2, Phase::Leaving);
    fleet.set_phase(2, Phase::Ready);
    fleet.run(KNOWN);
    assert_eq!(fleet.naming(2), 0);
}

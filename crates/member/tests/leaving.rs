//! A leaving host is removed from directions quickly, whether it reports that itself or the host
//! list does.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, address};
use member::{Listing, Phase};

/// Time within which all hosts must have removed a leaving host from their directions.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);

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
fn reported_by_host() {
    for hosts in [6, 24, 96] {
        let mut fleet = joined(hosts);
        assert_eq!(fleet.listing_hosts(2), usize::from(hosts) - 1);
        fleet.set_phase(2, Phase::Leaving);
        assert!(!fleet.lists(2, 2));
        fleet.run(PROPAGATION_LIMIT);
        assert_eq!(fleet.listing_hosts(2), 0, "{hosts} hosts");
    }
}

/// One daemon reads the mark, and all others receive it although their lists are out of date.
#[test]
fn marked_in_list() {
    let mut fleet = joined(24);
    mark(&mut fleet, 9, 2, true);
    assert!(!fleet.lists(9, 2));
    fleet.run(PROPAGATION_LIMIT);
    let listing: Vec<_> = (0..24).filter(|it| *it != 2 && fleet.lists(*it, 2)).collect();
    assert!(listing.is_empty(), "{listing:?}");
}

/// A mark that disappears from the list again does not bring a leaving host back.
#[test]
fn mark_is_final() {
    let mut fleet = joined(6);
    mark(&mut fleet, 3, 2, true);
    mark(&mut fleet, 3, 2, false);
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.listing_hosts(2), 0);
}

/// A new daemon on a host that the list still marks is listed as soon as the mark is removed.
#[test]
fn mark_of_predecessor() {
    let mut fleet = joined(6);
    mark(&mut fleet, 3, 2, true);
    fleet.start(2, 9_000);
    fleet.run(Duration::from_secs(10));
    assert!(!fleet.lists(3, 2));
    assert!(fleet.lists(4, 2));
    mark(&mut fleet, 3, 2, false);
    assert!(fleet.lists(3, 2));
}

#[test]
fn own_mark() {
    let mut fleet = joined(6);
    mark(&mut fleet, 2, 2, true);
    assert!(fleet.table(2).is_marked_leaving());
    assert!(!fleet.lists(2, 2));
}

/// A phase never moves backwards.
#[test]
fn phase_is_final() {
    let mut fleet = joined(6);
    fleet.set_phase(2, Phase::Leaving);
    fleet.set_phase(2, Phase::Ready);
    fleet.run(PROPAGATION_LIMIT);
    assert_eq!(fleet.listing_hosts(2), 0);
}

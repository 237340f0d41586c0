//! The order of entry hosts for a caller.

mod fleet;

use std::{collections::BTreeMap, time::Duration};

use fleet::Fleet;
use member::{Domain, Identity};

fn order(fleet: &Fleet, host: u16, caller: &str, domain: Option<&Domain>) -> Vec<Identity> {
    fleet.tables[&fleet::address(host)].directions(caller, domain, fleet.now)
}

fn joined() -> Fleet {
    let mut fleet = Fleet::new(6, 2);
    fleet.run(Duration::from_secs(15));
    fleet
}

/// All daemons compute the same order for a caller, and callers are spread over all hosts.
#[test]
fn same_and_spread() {
    let fleet = joined();
    let mut first = BTreeMap::<_, u32>::new();
    for it in 0..600 {
        let caller = format!("caller-{it}");
        let expected = order(&fleet, 0, &caller, None);
        assert_eq!(order(&fleet, 5, &caller, None), expected);
        *first.entry(expected[0].address).or_default() += 1;
    }
    assert_eq!(first.len(), 6);
    assert!(first.values().all(|it| (60..140).contains(it)), "{first:?}");
}

/// When a host stops, the order of the others doesn't change.
#[test]
fn stable_order() {
    let mut fleet = joined();
    let before: Vec<_> = order(&fleet, 0, "caller", None);
    fleet.stop(4);
    fleet.run(Duration::from_secs(15));
    let without: Vec<_> = before.into_iter().filter(|it| it.address != fleet::address(4)).collect();
    assert_eq!(order(&fleet, 0, "caller", None), without);
}

#[test]
fn own_domain_first() {
    let fleet = joined();
    let domain = Domain::from("domain-1");
    for it in 0..20 {
        let domains = order(&fleet, 0, &format!("caller-{it}"), Some(&domain));
        let is_local: Vec<_> = domains.iter().map(|it| it.domain == domain).collect();
        assert_eq!(is_local, [true, true, false, false, false, false]);
    }
}

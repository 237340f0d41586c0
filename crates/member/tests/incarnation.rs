//! Restarts, and old processes that come back.

mod fleet;

use std::time::Duration;

use fleet::{FIRST_INCARNATION, Fleet, address, identity};
use member::{Digest, Exchange, Issuer, Phase};

fn joined() -> Fleet {
    let mut fleet = Fleet::new(6, 17);
    fleet.run(Duration::from_secs(15));
    fleet
}

fn issuer(fleet: &mut Fleet, incarnation: u64) -> Issuer {
    let now = fleet.now;
    fleet.table(0).issuer(incarnation, now)
}

#[test]
fn issuers() {
    let mut fleet = joined();
    assert_eq!(issuer(&mut fleet, FIRST_INCARNATION), Issuer::Own);
    assert_eq!(issuer(&mut fleet, FIRST_INCARNATION + 2), Issuer::At(address(2)));
    assert_eq!(issuer(&mut fleet, 77), Issuer::Unknown);

    fleet.stop(2);
    fleet.run(Duration::from_secs(12));
    assert_eq!(issuer(&mut fleet, FIRST_INCARNATION + 2), Issuer::Unresponsive(address(2)));

    fleet.start(2, 9_000);
    fleet.run(Duration::from_secs(10));
    assert_eq!(issuer(&mut fleet, FIRST_INCARNATION + 2), Issuer::Replaced(address(2)));
    assert_eq!(issuer(&mut fleet, 9_000), Issuer::At(address(2)));
}

/// The old process wakes after its address has a new holder: its heartbeats and what others say of
/// it displace nobody.
#[test]
fn old_process_returns() {
    let mut fleet = joined();
    fleet.stop(2);
    fleet.start(2, 9_000);
    fleet.run(Duration::from_secs(10));
    let now = fleet.now;
    for it in 0..20 {
        let digest = Digest {
            identity: identity(2, FIRST_INCARNATION + 2),
            phase: Phase::Ready,
            sequence: 100_000 + it,
            version: 1,
        };
        let exchange =
            Exchange { digest, loads: Vec::new(), rumors: Vec::new(), marks: Vec::new() };
        fleet.table(0).receive(&exchange, now).unwrap();
    }
    fleet.run(Duration::from_secs(5));
    assert_eq!(issuer(&mut fleet, 9_000), Issuer::At(address(2)));
    assert_eq!(fleet.naming(2), 5);
}

/// A version that a peer has in force is known, and the newest wins.
#[test]
fn newer_version() {
    let mut fleet = joined();
    let now = fleet.now;
    assert!(fleet.table(0).newest_peer(now).is_none());
    fleet.table(3).set_version(4);
    fleet.table(4).set_version(5);
    fleet.run(Duration::from_secs(5));
    let now = fleet.now;
    let newer = fleet.table(0).newest_peer(now).map(|it| (it.identity.address, it.version));
    assert_eq!(newer, Some((address(4), 5)));
}

//! Messages from peers are checked completely before any of their content is used.

mod fleet;

use std::time::Instant;

use fleet::{address, identity};
use member::{Digest, Error, Exchange, Load, Phase, Rumor, Settings, Table};
use quickcheck::{Arbitrary, Gen};

fn table() -> Table {
    let rng = fastrand::Rng::with_seed(1);
    Table::new(identity(0, 1), &[], Settings::default(), rng, Instant::now())
}

fn exchange(host: u16) -> Exchange {
    let digest =
        Digest { identity: identity(host, 2), phase: Phase::Ready, sequence: 1, version: 1 };
    Exchange { digest, loads: Vec::new(), rumors: Vec::new(), marks: Vec::new() }
}

fn rumor(host: u16) -> Rumor {
    let address = address(host);
    Rumor { address, tag: 5, phase: Phase::Ready, sequence: 1, version: 1, age_ms: 0 }
}

/// Checks that `exchange` is refused as heartbeat and as answer with the same error, and that the
/// table is unchanged.
fn check(exchange: &Exchange, expected: &Error) {
    let mut table = table();
    let now = Instant::now();
    assert_eq!(table.receive(exchange, now).as_ref(), Err(expected));
    let peer = exchange.digest.identity.address;
    assert_eq!(table.answered(peer, exchange.clone(), now).as_ref(), Err(expected));
    assert_eq!((table.members().count(), table.tick(now).len()), (0, 0));
}

#[test]
fn bounds() {
    let long = "d".repeat(129);
    let mut bad = exchange(1);
    bad.digest.identity.domain = long.into();
    check(&bad, &Error::TooLong { part: "failure domain", length: 129, limit: 128 });

    let rumors = (0..257).map(rumor).collect();
    let bad = Exchange { rumors, ..exchange(1) };
    check(&bad, &Error::TooLong { part: "rumors", length: 257, limit: 256 });

    let loads = (0..1_025).map(|service| Load { service, in_flight: 1, queued: 1 }).collect();
    let bad = Exchange { loads, ..exchange(1) };
    check(&bad, &Error::TooLong { part: "loads", length: 1_025, limit: 1_024 });

    check(&exchange(0), &Error::OwnAddress(address(0)));
}

#[test]
fn wrong_address() {
    let mut table = table();
    let res = table.answered(address(3), exchange(1), Instant::now());
    assert_eq!(res, Err(Error::WrongAddress { asked: address(3), answered: address(1) }));
    assert_eq!(table.members().count(), 0);
}

/// Messages with extreme values cause no panic, and directions stay bounded.
#[test]
fn any_values() {
    let mut g = Gen::from_size_and_seed(30, 9);
    let mut table = table();
    let mut now = Instant::now();
    for _ in 0..500 {
        let mut it = exchange(u16::arbitrary(&mut g) % 8 + 1);
        it.digest.identity.incarnation = u64::arbitrary(&mut g) % 3;
        it.digest.sequence = u64::arbitrary(&mut g);
        it.digest.version = u64::arbitrary(&mut g);
        it.loads = (0..8)
            .map(|service| Load { service, in_flight: u32::MAX, queued: u32::arbitrary(&mut g) })
            .collect();
        it.rumors = (0..8)
            .map(|host| Rumor {
                tag: u32::arbitrary(&mut g) % 3,
                sequence: u64::arbitrary(&mut g),
                age_ms: u64::arbitrary(&mut g),
                ..rumor(host)
            })
            .collect();
        let peer = it.digest.identity.address;
        if bool::arbitrary(&mut g) {
            table.receive(&it, now).unwrap();
        } else {
            table.answered(peer, it, now).unwrap();
        }
        now += std::time::Duration::from_millis(u64::from(u16::arbitrary(&mut g)));
        table.tick(now);
        assert!(table.directions("caller", None, now).len() <= 9);
    }
}

//! Discovery of peers and detection of their end.

mod heartbeat;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use gateway::peer::{Capacity, Event, Heartbeat, Phase, Sharers, Table};

const MS: Duration = Duration::from_millis(1);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_200))
}

fn heartbeat(number: u8, key: u64, phase: Phase) -> Heartbeat {
    Heartbeat {
        key,
        host: format!("host-{number}"),
        caller_address: SocketAddr::from(([10, 0, 0, number], 80)),
        phase,
        ..heartbeat::usual()
    }
}

/// A peer falls silent and comes back. It still counts as a sharer of the budgets meanwhile.
#[test]
fn silent_peer_returns() {
    let now = Instant::now();
    let mut table = Table::new(address(1), 100.0);
    let joined = [Event::Joined("host-2".to_owned())];
    assert_eq!(table.record_heartbeat(now, address(2), heartbeat(2, 7, Phase::Ready)), joined);
    assert_eq!(table.live_count(now), 1);
    assert!(table.tick(now + MS * 1_000).is_empty());
    let later = now + MS * 1_500;
    assert_eq!(table.tick(later), [Event::Lost("host-2".to_owned(), 7)]);
    assert!(table.tick(later).is_empty(), "reported once");
    assert_eq!(table.live_count(later), 0);
    let sharers = table.sharers(later + MS * 20_000, Duration::from_secs(10));
    assert_eq!(sharers.all, 1, "it may only be partitioned");
    assert_eq!(table.record_heartbeat(later, address(2), heartbeat(2, 7, Phase::Ready)), joined);
}

/// A heartbeat with a new key shows a restart; the state of the old incarnation is invalid.
#[test]
fn restart_detected() {
    let now = Instant::now();
    let mut table = Table::new(address(1), 100.0);
    table.record_heartbeat(now, address(2), heartbeat(2, 7, Phase::Ready));
    let events = table.record_heartbeat(now, address(2), heartbeat(2, 8, Phase::Starting));
    let host = "host-2".to_owned();
    assert_eq!(events, [Event::Lost(host.clone(), 7), Event::Joined(host)]);
}

#[test]
fn leaving_reported_once() {
    let now = Instant::now();
    let mut table = Table::new(address(1), 100.0);
    table.record_heartbeat(now, address(2), heartbeat(2, 7, Phase::Ready));
    let leaving = [Event::Leaving("host-2".to_owned())];
    assert_eq!(table.record_heartbeat(now, address(2), heartbeat(2, 7, Phase::Leaving)), leaving);
    assert!(table.record_heartbeat(now, address(2), heartbeat(2, 7, Phase::Leaving)).is_empty());
}

#[test]
fn gossip_adds_addresses() {
    let now = Instant::now();
    let mut table = Table::new(address(1), 100.0);
    table.add(now, address(2));
    let mut gossiping = heartbeat(2, 7, Phase::Ready);
    gossiping.peers = vec![address(1), address(3)];
    table.record_heartbeat(now, address(2), gossiping);
    let due: Vec<_> = table.due_heartbeats(now, false).into_iter().map(|(it, _)| it).collect();
    assert_eq!(due, [address(2), address(3)], "its own address is not added");
    assert!(table.due_heartbeats(now, false).is_empty());
    let later = now + Duration::from_mins(2);
    table.tick(later);
    assert!(
        table.due_heartbeats(later, false).is_empty(),
        "addresses that never answer are removed"
    );
}

/// All daemons agree on one order, with the best links first and without leaving daemons.
#[test]
fn reader_order() {
    let now = Instant::now();
    let mut table = Table::new(address(3), 100.0);
    for it in [1, 2, 4] {
        table.record_heartbeat(now, address(it), heartbeat(it, it.into(), Phase::Ready));
    }
    assert_eq!(table.position(now), 2);
    table.record_heartbeat(now, address(1), heartbeat(1, 1, Phase::Leaving));
    assert_eq!(table.position(now), 1, "a leaving daemon is not counted");
    let slow = Capacity { link_mbps: 10.0, ..Capacity::default() };
    table.record_heartbeat(
        now,
        address(2),
        Heartbeat { capacity: slow, ..heartbeat(2, 2, Phase::Ready) },
    );
    assert_eq!(table.position(now), 0, "hosts with better links come first");
}

/// Hundreds of hosts, of which callers use a few. The heartbeats of the others take a quarter.
#[test]
fn idle_heartbeat_rate() {
    let start = Instant::now();
    let sent = |peers: u32, is_active: bool| {
        let mut table = Table::new(address(1), 100.0);
        let peer = |it: u32| SocketAddr::from((std::net::Ipv4Addr::from(it + (11 << 24)), 7_200));
        let mut count = 0;
        for step in 0..200 {
            let now = start + MS * 100 * step;
            (0..peers).for_each(|it| {
                drop(table.record_heartbeat(now, peer(it), heartbeat(2, 7, Phase::Ready)));
            });
            count += table.due_heartbeats(now, is_active).len();
        }
        count
    };
    let check = |peers, least, most| {
        let share = sent(peers, false) as f64 / sent(peers, true) as f64;
        assert!((least..=most).contains(&share), "{share} of the heartbeats with {peers} peers");
    };
    check(6, 1.0, 1.0);
    check(46, 1.0, 1.0);
    check(300, 0.2, 0.3);
}

/// In a large fleet, inactive peers send heartbeats less often and must not count as lost.
#[test]
fn idle_peers_stay_live() {
    let now = Instant::now();
    let mut table = Table::new(address(1), 100.0);
    for it in 2..=250 {
        table.record_heartbeat(now, address(it), heartbeat(it, 7, Phase::Ready));
    }
    let active = Heartbeat { is_active: true, ..heartbeat(2, 7, Phase::Ready) };
    table.record_heartbeat(now, address(2), active);
    let later = now + MS * 5_000;
    assert_eq!(table.tick(later), [Event::Lost("host-2".to_owned(), 7)]);
    assert_eq!(table.live_count(later), 248);
}

/// Peers that were active within the window still share the budgets; a peer that left does not
/// after the window.
#[test]
fn budget_sharers() {
    let now = Instant::now();
    let window = Duration::from_secs(10);
    let mut table = Table::new(address(1), 100.0);
    let active = |number| Heartbeat { is_active: true, ..heartbeat(number, 7, Phase::Ready) };
    table.record_heartbeat(now, address(2), active(2));
    table.record_heartbeat(now, address(3), active(3));
    table.record_heartbeat(now, address(4), heartbeat(4, 7, Phase::Ready));
    table.record_heartbeat(now, address(5), active(5));
    table.record_heartbeat(now + MS, address(5), heartbeat(5, 7, Phase::Leaving));
    table.record_heartbeat(now + MS, address(3), heartbeat(3, 7, Phase::Ready));
    let check = |at: Instant, all, active| {
        assert_eq!(table.sharers(at, window), Sharers { all, active });
    };
    check(now + MS * 2, 4, 3);
    check(now + window + MS * 2, 3, 1);
}

/// The registry and the configuration are fetched from the peers that have read furthest: another
/// one may still list an upstream that has been removed.
#[test]
fn furthest_peers() {
    let now = Instant::now();
    let mut table = Table::new(address(1), 100.0);
    for (number, registry_end) in [(2, 30), (3, 50), (4, 20), (5, 40), (6, 10)] {
        let heartbeat = Heartbeat { registry_end, ..heartbeat(number, 1, Phase::Ready) };
        table.record_heartbeat(now, address(number), heartbeat);
    }
    let further = |own| table.further(now, |it| it.registry_end, own, "a");
    assert_eq!(further(20), [3, 5, 2].map(address));
    assert!(further(50).is_empty());
    let later = now + MS * 10_000;
    assert!(table.further(later, |it| it.registry_end, 0, "a").is_empty(), "nobody is live");
}

/// Of peers that have read equally far, those in the own failure domain are asked first.
#[test]
fn nearest_peers() {
    let now = Instant::now();
    let mut table = Table::new(address(1), 100.0);
    for (number, domain) in [(2, "a"), (3, "b"), (4, "a"), (5, "b")] {
        let heartbeat = Heartbeat {
            registry_end: 9,
            domain: domain.into(),
            ..heartbeat(number, 1, Phase::Ready)
        };
        table.record_heartbeat(now, address(number), heartbeat);
    }
    let mut further = table.further(now, |it| it.registry_end, 0, "b");
    further.truncate(2);
    further.sort();
    assert_eq!(further, [3, 5].map(address));
}

/// The part of the fleet that a daemon is in contact with decides how much of a shared rate it uses. A
/// silent peer counts, a peer that leaves does not, and a daemon on its own can't be sure of anything.
#[test]
fn presence() {
    let now = Instant::now();
    let mut table = Table::new(address(1), 100.0);
    assert!(table.presence(now) <= 0.25, "alone");
    for number in 2..=4 {
        table.record_heartbeat(now, address(number), heartbeat(number, 7, Phase::Ready));
    }
    assert!((table.presence(now) - 1.0).abs() < 1e-9);
    let later = now + MS * 5_000;
    table.record_heartbeat(later, address(2), heartbeat(2, 7, Phase::Ready));
    assert!((table.presence(later) - 0.5).abs() < 1e-9, "two of four");
    table.record_heartbeat(later, address(3), heartbeat(3, 7, Phase::Leaving));
    assert!(table.presence(later) > 0.9, "three of three that stay");
    let alone = later + MS * 5_000;
    assert!(table.presence(alone) <= 0.25);
}

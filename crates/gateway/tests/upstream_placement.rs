//! Placement of upstreams on daemons, which every daemon computes by itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use gateway::{
    load::{Service, Settings},
    peer::placement::{Daemon, Placement, assign, daemons_per_upstream},
    registry::{Domain, Registration, State},
};
use quickcheck::quickcheck;

fn daemons(count: u8) -> Vec<Daemon> {
    let daemon = |it: u8| Daemon {
        address: SocketAddr::from(([10, 0, it % 4, it], 7_200)),
        domain: format!("domain-{}", it % 4).into(),
    };
    (0..count).map(daemon).collect()
}

/// In a small fleet every upstream is assigned to all daemons.
#[test]
fn small_fleet() {
    assert_eq!(daemons_per_upstream(6, 15), 6);
    assert_eq!(assign("u", "domain-1", &daemons(6), 6).len(), 6);
}

/// In a large fleet neither the daemons of an upstream nor the upstreams of a daemon become too few
/// or too many.
#[test]
fn bounded_counts() {
    let check = |daemons: usize, upstreams: usize| {
        let count = daemons_per_upstream(daemons, upstreams);
        let mean = (count * upstreams).div_ceil(daemons);
        assert!((2..=daemons).contains(&count), "{count} daemons for an upstream");
        assert!(mean >= 8.min(upstreams), "{mean} upstreams for a daemon");
        assert!(mean <= 16.max(2 * upstreams.div_ceil(daemons)), "{mean} upstreams for a daemon");
    };
    check(47, 134);
    check(47, 27);
    check(300, 30);
    check(300, 3_600);
}

/// Daemons in the upstream's failure domain are assigned first.
#[test]
fn own_domain_first() {
    let daemons = daemons(48);
    let assigned = assign("u", "domain-2", &daemons, 5);
    let domain_of = |at: &SocketAddr| daemons.iter().find(|it| it.address == *at).unwrap();
    assert!(assigned.iter().all(|it| &*domain_of(it).domain == "domain-2"));
}

/// All daemons are assigned upstreams, in similar numbers.
#[test]
fn even_load() {
    let daemons = daemons(48);
    let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for upstream in 0..480 {
        let domain = format!("domain-{}", upstream % 4);
        for it in assign(&format!("u-{upstream}"), &domain, &daemons, 2) {
            *counts.entry(it).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 48);
    assert!(counts.values().all(|it| (6..=40).contains(it)), "{counts:?}");
}

quickcheck! {
    /// When a daemon stops, only upstreams that were assigned to it are reassigned.
    fn few_changes(gone: u8, upstream: u16) -> bool {
        let all = daemons(40);
        let mut rest = all.clone();
        let gone = rest.remove(usize::from(gone) % rest.len());
        let id = format!("u-{upstream}");
        let before: std::collections::BTreeSet<_> = assign(&id, "domain-1", &all, 4).into_iter().collect();
        let after = assign(&id, "domain-1", &rest, 4).into_iter().collect();
        before == after || before.contains(&gone.address)
    }
}

/// Number of upstreams in service that the daemon `own` is assigned, of a service with 120 upstreams in
/// four domains.
fn assigned_in_service(own: u8, evacuated: &[&str]) -> usize {
    let now = Instant::now();
    let daemons = daemons(48);
    let own = daemons[usize::from(own)].clone();
    let evacuated: BTreeSet<_> = evacuated.iter().map(|it| Domain::from(*it)).collect();
    let mut service = Service::new(Settings::default(), own.domain.clone(), 1);
    for upstream in 0..120 {
        let registration = Registration {
            id: format!("u-{upstream}").into(),
            born_ms: 1,
            seq: 1,
            service: "s".into(),
            address: SocketAddr::from(([10, 0, 0, 1], 80)),
            domain: format!("domain-{}", upstream % 4).into(),
            slots: 4,
            state: State::Ready,
            cold_for: Duration::ZERO,
        };
        service.put(now, registration);
    }
    service.set_evacuated(&evacuated);
    let mut placement = Placement::default();
    placement.reset(own, daemons, evacuated);
    placement.add_service(&mut service);
    service.iter().filter(|it| it.is_assigned && !it.is_evacuated).count()
}

/// A daemon whose own domain is evacuated is assigned upstreams of the other domains, so that it learns
/// their load from its peers, and all daemons together keep as many as before.
#[test]
fn evacuated_domain() {
    for evacuated in [&[][..], &["domain-0"], &["domain-1", "domain-0"]] {
        let counts: Vec<_> = (0..48).map(|it| assigned_in_service(it, evacuated)).collect();
        assert!(counts.iter().all(|it| (1..=24).contains(it)), "{counts:?} without {evacuated:?}");
        let mean = |counts: Vec<usize>| counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        let in_first = mean(counts.iter().copied().step_by(4).collect());
        assert!(in_first >= 6.0, "mean of {in_first} in domain-0 without {evacuated:?}");
        assert!(mean(counts) >= 8.0, "without {evacuated:?}");
    }
}

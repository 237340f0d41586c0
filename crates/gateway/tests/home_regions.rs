//! Homes of routes: which upstreams and hosts they allow.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use gateway::{
    config::{Config, Region, Route, Table},
    directory::{Host, restrict},
    load::{Domains, Eligibility, Service, Settings},
    peer::Capacity,
    registry::{Domain, Registration, State},
};
use quickcheck::quickcheck;

const ROUTE: &str = "r";

fn regions() -> BTreeMap<Domain, Region> {
    [("a", "r1"), ("b", "r2"), ("c", "r2")].map(|(a, b)| (a.into(), b.into())).into()
}

fn homes(names: &[&str]) -> Vec<Region> {
    names.iter().map(|it| Region::from(*it)).collect()
}

fn service(now: Instant, domains: &[&str]) -> Service {
    let mut res = Service::new(Settings::default(), "a".into(), 1);
    for (number, domain) in domains.iter().enumerate() {
        let registration = Registration {
            id: format!("{domain}-{number}").into(),
            born_ms: 1,
            seq: 1,
            service: "stock".into(),
            address: SocketAddr::from(([10, 0, 0, 1], 80)),
            domain: (*domain).into(),
            slots: 2,
            state: State::Ready,
            cold_for: Duration::ZERO,
        };
        res.put(now, registration);
    }
    res
}

/// A domain whose region is not known is in no home.
#[test]
fn domains_of_homes() {
    let check = |names: &[&str], expected: &[&str]| {
        let domains = Domains::within(&homes(names), &regions());
        let inside: Vec<_> = ["a", "b", "c", "d", ""]
            .into_iter()
            .filter(|it| domains.contains(&(*it).into()))
            .collect();
        assert_eq!(inside, expected, "{names:?}");
    };
    check(&[], &["a", "b", "c", "d", ""]);
    check(&["r1"], &["a"]);
    check(&["r2"], &["b", "c"]);
    check(&["r1", "r2", "r3"], &["a", "b", "c"]);
    check(&["r3"], &[]);
    check(&[""], &[]);
}

/// All upstreams outside are idle and nearer; those inside fill up, and nothing goes outside.
#[test]
fn full_upstreams_inside() {
    let now = Instant::now();
    let mut service = service(now, &["a", "a", "b", "c", "d"]);
    let domains = Domains::within(&homes(&["r2"]), &regions());
    let mut chosen = Vec::new();
    while let Some(id) = service.choose_within(now, ROUTE, &[], &domains, Eligibility::Any) {
        service.start(now, &id);
        chosen.push(id);
    }
    chosen.sort_unstable();
    assert_eq!(chosen, ["b-2", "b-2", "c-3", "c-3"].map(Into::into));
    assert!(service.choose(now, ROUTE, &[], Eligibility::Any).is_some());
}

/// Probes on behalf of a route tell upstreams outside its homes of its callers.
#[test]
fn probes_inside() {
    let now = Instant::now();
    let mut service = service(now, &["a", "a", "b", "d"]);
    let inside = Domains::within(&homes(&["r2"]), &regions());
    assert_eq!(service.probe_candidates_within(now, &[], &inside, 3), ["b-2".into()]);
    let outside = Domains::within(&homes(&["r3"]), &regions());
    assert_eq!(service.probe_candidates_within(now, &[], &outside, 3), [""; 0].map(Into::into));
    assert_eq!(service.accepts_after_within(now, &[], &inside), Some(Duration::ZERO));
    assert_eq!(service.accepts_after_within(now, &["b-2".into()], &inside), None);
    assert_eq!(service.accepts_after_within(now, &[], &outside), None);
}

fn host(number: u8, region: Option<&str>) -> Host {
    Host {
        address: SocketAddr::from(([10, 0, 0, number], 80)),
        is_same_domain: false,
        region: region.map(Into::into),
        capacity: Capacity::default(),
    }
}

/// Homes hold even if no host is left; the caller's region only if it has a host.
#[test]
fn named_hosts() {
    let all = [host(1, Some("r1")), host(2, Some("r2")), host(3, Some("r2")), host(4, None)];
    let check = |region: Option<&str>, names: Option<&[&str]>, expected: &[u8]| {
        let homes: Option<BTreeSet<_>> = names.map(|it| homes(it).into_iter().collect());
        let mut hosts = all.to_vec();
        restrict(&mut hosts, region, homes.as_ref());
        let numbers: Vec<_> = all
            .iter()
            .zip(1..)
            .filter_map(|(it, number)| hosts.contains(it).then_some(number))
            .collect();
        assert_eq!(numbers, expected, "{region:?} {names:?}");
    };
    check(None, None, &[1, 2, 3, 4]);
    check(Some("r3"), None, &[1, 2, 3, 4]);
    check(Some("r2"), None, &[2, 3]);
    check(Some("r1"), Some(&["r2"]), &[2, 3]);
    check(Some("r1"), Some(&["r1", "r2"]), &[1]);
    check(None, Some(&["r1", "r2"]), &[1, 2, 3]);
    check(Some("r1"), Some(&["r3"]), &[]);
}

/// The directory knows the host name of a request but not its path.
#[test]
fn homes_of_a_host_name() {
    let route = |host: &str, prefix: &str, names: &[&str]| Route {
        host: host.into(),
        prefix: prefix.into(),
        homes: homes(names),
        ..Route::default()
    };
    let routes = vec![
        route("a", "/1/", &["r1", "r2"]),
        route("a", "/2/", &["r2", "r3"]),
        route("a", "/3/", &[]),
        route("b", "/1/", &["r1"]),
        route("b", "/2/", &["r2"]),
        route("c", "/", &[]),
    ];
    let table = Table::new(Config { version: 1, routes, ..Config::default() });
    let names = |host: &str| table.homes(host).map(|it| it.into_iter().collect::<Vec<_>>());
    assert_eq!(names("A:80"), Some(homes(&["r2"])));
    assert_eq!(names("b"), Some(homes(&["r1", "r2"])));
    assert_eq!(names("c"), None);
    assert_eq!(names("d"), None);
}

quickcheck! {
    /// Whatever the homes and the load, no choice is outside.
    fn never_outside(chosen: Vec<u8>, places: Vec<u8>, steps: u8) -> bool {
        let names = ["r1", "r2", "r3", ""];
        let zones = ["a", "b", "c", "d"];
        let wanted: Vec<_> = chosen.iter().map(|it| names[usize::from(it % 4)]).collect();
        let zones: Vec<_> = places.iter().map(|it| zones[usize::from(it % 4)]).collect();
        let now = Instant::now();
        let mut service = service(now, &zones);
        let domains = Domains::within(&homes(&wanted), &regions());
        (0..steps).all(|_| {
            let id = service.choose_within(now, ROUTE, &[], &domains, Eligibility::Any);
            let Some(id) = id else { return true };
            service.start(now, &id);
            let region = service.get(&id).and_then(|it| regions().get(&it.registration.domain).cloned());
            wanted.is_empty() || region.is_some_and(|it| wanted.contains(&&*it))
        })
    }
}

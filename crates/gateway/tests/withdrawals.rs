//! Load pattern: upstreams that leave, or that ask for a pause while they are overloaded.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use gateway::{
    Settings,
    config::{Config, Service},
    gateway::Gateway,
    http::{Head, Header},
    load::Eligibility,
    peer::Departure,
    registry::{Change, Registration, Removal, Revision, State, Withdrawal, Withdrawals},
    upstream::Notice,
    wire::{Names, Protocol},
};

const SERVICE: &str = "stock";

fn registration(id: &str, born_ms: u64) -> Registration {
    Registration {
        id: id.into(),
        born_ms,
        seq: 1,
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: "a".into(),
        slots: 4,
        state: State::Ready,
        cold_for: Duration::ZERO,
    }
}

fn head(status: u16, headers: &[(&str, &str)]) -> Head {
    let header = |(name, value): &(&str, &str)| Header {
        name: (*name).to_owned().into(),
        value: (*value).to_owned().into(),
    };
    Head {
        status,
        minor_version: 1,
        headers: headers.iter().map(header).collect(),
        ..Head::default()
    }
}

fn notice(status: u16, headers: &[(&str, &str)]) -> Notice {
    Notice::parse(&head(status, headers), &Names::default(), "u")
}

/// A daemon with the upstreams `u` and `v`, without sockets.
fn daemon() -> (std::rc::Rc<Gateway>, Arc<clock::Manual>) {
    let clock = Arc::new(clock::Manual::default());
    let protocol =
        Protocol { names: Names::default(), parse_load: |_| None, directory: |_, _| String::new() };
    let gateway =
        Gateway::new(Settings::default(), Arc::<clock::Manual>::clone(&clock), protocol, 1);
    let service = Service { id: SERVICE.into(), connection_limit: 100, ..Service::default() };
    let config = Config { version: 1, services: vec![service], ..Config::default() };
    gateway.set_config(config, "test");
    for it in ["u", "v"] {
        put(&gateway, registration(it, 1));
    }
    (gateway, clock)
}

fn put(gateway: &std::rc::Rc<Gateway>, registration: Registration) {
    gateway.apply(&Change::Put(registration), "test");
}

/// Upstreams that a request may be sent to now.
fn open(gateway: &Gateway) -> Vec<String> {
    let dispatcher = gateway.dispatcher(SERVICE).unwrap();
    let mut service = dispatcher.service.borrow_mut();
    let mut res = Vec::new();
    while let Some(id) = service.choose(gateway.now(), "r", &ids(&res), Eligibility::Any) {
        res.push(id.to_string());
    }
    res.sort();
    res
}

fn ids(names: &[String]) -> Vec<Arc<str>> {
    names.iter().map(|it| it.as_str().into()).collect()
}

fn accepts_after(gateway: &Gateway) -> Option<Duration> {
    let dispatcher = gateway.dispatcher(SERVICE).unwrap();
    dispatcher.service.borrow().accepts_after(gateway.now(), &[])
}

#[test]
fn notices_in_answers() {
    let leaving = ("Fireflydrum-Leaving", "1");
    assert!(notice(200, &[leaving]).is_leaving);
    assert!(notice(500, &[leaving]).is_leaving);
    assert!(!notice(200, &[("fireflydrum-leaving", "0")]).is_leaving);
    // The answer comes from another instance at a reused address.
    assert!(!notice(421, &[leaving]).is_leaving);
    assert!(!notice(200, &[leaving, ("fireflydrum-instance", "other")]).is_leaving);
    assert!(notice(200, &[leaving, ("fireflydrum-instance", "u")]).is_leaving);
}

#[test]
fn pauses_in_answers() {
    let pause = |status, it| notice(status, &[("Retry-After", it)]).pause;
    assert_eq!(pause(503, "2"), Some(Duration::from_secs(2)));
    assert_eq!(pause(503, " 0.25 "), Some(Duration::from_millis(250)));
    assert_eq!(pause(200, "2"), None);
    for it in ["", "-1", "NaN", "soon", "Sat, 05 Dec 2026 05:00:00 GMT"] {
        assert_eq!(pause(503, it), None, "{it}");
    }
    for it in ["1e300", "inf", "999999999999"] {
        assert_eq!(pause(503, it), Some(Duration::from_hours(1)), "{it}");
    }
}

/// Neither an entry read again from the store, nor the removal and return of the entry, brings an
/// upstream back that has said that it leaves; a new start does.
#[test]
fn leaving_upstream() {
    let (gateway, _clock) = daemon();
    gateway.record_notice(&registration("u", 1), &head(200, &[("fireflydrum-leaving", "1")]));
    assert_eq!(open(&gateway), ["v"]);
    put(&gateway, registration("u", 1));
    assert_eq!(open(&gateway), ["v"]);
    gateway
        .apply(&Change::Removed(Removal { id: "u".into(), revision: Revision::default() }), "test");
    put(&gateway, registration("u", 1));
    assert_eq!(open(&gateway), ["v"]);
    put(&gateway, registration("u", 2));
    assert_eq!(open(&gateway), ["u", "v"]);
}

/// A departure that a peer reports holds before the upstream is registered here, and is passed on
/// to nobody.
#[test]
fn departure_from_peer() {
    let (gateway, _clock) = daemon();
    let departure = |upstream: &str| Departure { upstream: upstream.into(), born_ms: 1 };
    assert!(gateway.record_departure(&departure("v"), "peer"));
    assert!(!gateway.record_departure(&departure("v"), "peer"));
    assert!(gateway.record_departure(&departure("w"), "peer"));
    put(&gateway, registration("w", 1));
    assert_eq!(open(&gateway), ["u"]);
    assert!(gateway.take_departures().is_empty());
    assert_eq!(gateway.newest_departures(10), ["w", "v"].map(departure));
}

/// An upstream that asks for a pause gets nothing until its end, the others are used meanwhile.
#[test]
fn paused_upstream() {
    let (gateway, clock) = daemon();
    gateway.record_notice(&registration("u", 1), &head(503, &[("Retry-After", "1.5")]));
    assert_eq!(open(&gateway), ["v"]);
    // A shorter pause asked for later doesn't end the first.
    gateway.record_notice(&registration("u", 1), &head(503, &[("Retry-After", "0.1")]));
    clock.advance(Duration::from_millis(1_499));
    put(&gateway, registration("u", 1));
    assert_eq!(open(&gateway), ["v"]);
    clock.advance(Duration::from_millis(1));
    assert_eq!(open(&gateway), ["u", "v"]);
}

/// The pause belongs to one incarnation.
#[test]
fn restart_ends_pause() {
    let (gateway, _clock) = daemon();
    gateway.record_notice(&registration("u", 1), &head(503, &[("Retry-After", "60")]));
    put(&gateway, registration("u", 2));
    assert_eq!(open(&gateway), ["u", "v"]);
}

/// While every upstream pauses, the service says when the first one accepts requests again.
#[test]
fn whole_service_pauses() {
    let (gateway, clock) = daemon();
    assert_eq!(accepts_after(&gateway), Some(Duration::ZERO));
    gateway.record_notice(&registration("u", 1), &head(503, &[("Retry-After", "3")]));
    gateway.record_notice(&registration("v", 1), &head(503, &[("Retry-After", "2")]));
    assert_eq!(accepts_after(&gateway), Some(Duration::from_secs(2)));
    clock.advance(Duration::from_millis(500));
    assert_eq!(accepts_after(&gateway), Some(Duration::from_millis(1_500)));
    gateway.record_notice(&registration("v", 1), &head(200, &[("fireflydrum-leaving", "1")]));
    assert_eq!(accepts_after(&gateway), Some(Duration::from_millis(2_500)));
    gateway.record_notice(&registration("u", 1), &head(200, &[("fireflydrum-leaving", "1")]));
    assert_eq!(accepts_after(&gateway), None);
}

#[test]
fn later_incarnations() {
    let now = Instant::now();
    let mut withdrawals = Withdrawals::default();
    withdrawals.pause(&"u".into(), 5, now);
    let leaving = Withdrawal { is_leaving: true, paused_until: None };
    assert_eq!(withdrawals.get(&registration("u", 4)), leaving);
    assert_eq!(withdrawals.get(&registration("u", 6)), Withdrawal::default());
    assert!(!withdrawals.leave(&"u".into(), 4));
    assert!(withdrawals.leave(&"u".into(), 6));
    assert_eq!(withdrawals.get(&registration("u", 6)), leaving);
    assert_eq!(withdrawals.get(&registration("u", 7)), Withdrawal::default());
}

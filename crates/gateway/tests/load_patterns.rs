//! Upstream choice under typical load patterns.

use std::time::{Duration, Instant};

use gateway::{
    load::{Eligibility, Outcome, Report, Service, Settings},
    registry::{Registration, State, UpstreamId},
};

const ROUTE: &str = "stock";

fn upstream(id: &str, domain: &str) -> Registration {
    Registration {
        id: id.into(),
        born_ms: 1,
        seq: 1,
        service: "stock".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: domain.into(),
        slots: 6,
        state: State::Ready,
        cold_for: Duration::ZERO,
    }
}

fn service(now: Instant, ids: &[&str]) -> Service {
    let mut res = Service::new(Settings::default(), "home".into(), 7);
    for it in ids {
        res.put(now, upstream(it, "home"));
    }
    res
}

fn report(running: u32, pace_percent: u32) -> Report {
    Report { running, waiting: 0, slots: 6, pace_percent }
}

fn chosen(service: &mut Service, now: Instant, count: usize) -> Vec<UpstreamId> {
    (0..count).filter_map(|_| service.choose(now, ROUTE, &[], Eligibility::Any)).collect()
}

/// Another process on an upstream's machine slows it down for a fraction of a second.
#[test]
fn noisy_neighbour() {
    let now = Instant::now();
    let mut service = service(now, &["quiet", "noisy"]);
    service.record_report(now, "noisy", report(0, 500));
    service.record_report(now, "quiet", report(0, 100));
    assert!(chosen(&mut service, now, 50).iter().all(|it| &**it == "quiet"));
    let later = now + Duration::from_secs(1);
    let again = chosen(&mut service, later, 50);
    assert!(again.iter().any(|it| &**it == "noisy"), "an outdated report has no effect");
}

/// Under overload, requests sent to degraded upstreams would occupy their slots for several times
/// as long, so they wait for an upstream at normal pace.
#[test]
fn degraded_under_overload() {
    let now = Instant::now();
    let mut service = service(now, &["noisy", "quiet"]);
    service.record_report(now, "noisy", report(0, 500));
    service.record_report(now, "quiet", report(0, 100));
    let mut sent = 0;
    while let Some(id) = service.choose(now, ROUTE, &[], Eligibility::Normal) {
        assert_eq!(&*id, "quiet");
        service.start(now, &id);
        sent += 1;
    }
    assert_eq!(sent, 6, "all slots of the upstream at normal pace");
    assert_eq!(service.choose(now, ROUTE, &[], Eligibility::NormalOrIdle), None);
    let later = now + Duration::from_millis(50);
    assert_eq!(service.probe_candidates(later, &[], 3), ["noisy".into()], "its report has expired");
}

/// All upstreams are degraded, so requests do not wait for one at normal pace.
#[test]
fn all_degraded() {
    let now = Instant::now();
    let mut service = service(now, &["one", "other"]);
    service.record_report(now, "one", report(0, 500));
    service.record_report(now, "other", report(0, 500));
    assert_eq!(service.choose(now, ROUTE, &[], Eligibility::Normal), None);
    let chosen =
        service.choose(now, ROUTE, &[], Eligibility::NormalOrIdle).expect("an idle upstream");
    service.start(now, &chosen);
    let second =
        service.choose(now, ROUTE, &[], Eligibility::NormalOrIdle).expect("the other upstream");
    assert_ne!(chosen, second);
}

/// Upstreams slow down when nearly full, so that slots free up more slowly and they fill up
/// further.
#[test]
fn nearly_full() {
    let now = Instant::now();
    let mut service = service(now, &["u"]);
    let service_time = Duration::from_millis(100);
    let route = ROUTE.into();
    let fill = |service: &mut Service, took: Duration| {
        let mut sent = Vec::new();
        while let Some(id) = service.choose(now, ROUTE, &[], Eligibility::Any) {
            sent.push(service.start(now, &id));
        }
        let count = sent.len();
        for (place, serial) in sent.into_iter().enumerate() {
            let is_nearly_full = place >= 4;
            service.record_answer(
                "u",
                serial,
                &route,
                if is_nearly_full { took } else { service_time },
            );
            service.finish(now, "u", serial, Outcome::Success);
        }
        count
    };
    assert_eq!(fill(&mut service, service_time), 6, "all slots are used at first");
    for _ in 0..5 {
        fill(&mut service, service_time * 2);
    }
    assert!(service.slows_when_full());
    assert_eq!(fill(&mut service, service_time * 2), 4, "four fifths of the slots");
    service.decay(Duration::from_mins(1));
    assert_eq!(fill(&mut service, service_time), 6, "all slots are used again after the decay");
}

/// Upstreams that don't slow down when full share their machines with others, which delay one in
/// four requests that arrive under load by seven times their time. The few late answers must not
/// halve the capacity.
#[test]
fn noise_when_full() {
    let now = Instant::now();
    let mut service = Service::new(Settings::default(), "home".into(), 7);
    service.put(now, Registration { slots: 2, ..upstream("u", "home") });
    let (service_time, route) = (Duration::from_millis(100), ROUTE.into());
    for round in 0..400 {
        service.record_report(now, "u", report(0, 100));
        let sent: Vec<_> = (0..2)
            .map(|_| {
                let id = service.choose(now, ROUTE, &[], Eligibility::Any);
                let id = id.unwrap_or_else(|| panic!("a slot is unused in round {round}"));
                service.start(now, &id)
            })
            .collect();
        for (place, serial) in sent.into_iter().enumerate() {
            let is_noisy = place == 1 && round % 4 == 0;
            let took = if is_noisy { service_time * 7 } else { service_time };
            service.record_answer("u", serial, &route, took);
            service.finish(now, "u", serial, Outcome::Success);
        }
    }
    assert!(!service.slows_when_full());
}

/// Upstreams with two slots slow down by half when both are used: using one slot only would answer
/// fewer requests.
#[test]
fn few_slots() {
    let settings = Settings::default();
    let limit = |slots, slowdown| {
        let registration = Registration { slots, ..upstream("u", "home") };
        gateway::load::Upstream::new(Instant::now(), registration).limit(&settings, slowdown)
    };
    let equal = |a: f64, b: f64| assert!((a - b).abs() < f64::EPSILON, "{a} instead of {b}");
    equal(limit(2, 1.5), 2.0);
    equal(limit(2, 2.0), 1.0);
    equal(limit(6, 1.0), 6.0);
    equal(limit(6, 1.5), 4.0);
    equal(limit(1, 2.0), 1.0);
}

/// Several entry hosts send to the same upstreams at the same time.
#[test]
fn shared_upstreams() {
    let now = Instant::now();
    let mut service = service(now, &["u"]);
    service.record_peer_load(now, 1, "u", 3);
    service.record_peer_load(now, 2, "u", 3);
    assert_eq!(service.choose(now, ROUTE, &[], Eligibility::Any), None);
    service.remove_peer(2);
    assert!(service.choose(now, ROUTE, &[], Eligibility::Any).is_some());
    service.record_peer_load(now, 1, "u", 9);
    let later = now + Settings::default().peer_load_lifetime;
    assert!(
        service.choose(later, ROUTE, &[], Eligibility::Any).is_some(),
        "a peer that sends nothing is no longer counted"
    );
}

/// An upstream fails its requests quickly and therefore seems to be the least loaded.
#[test]
fn fails_fast() {
    let now = Instant::now();
    let mut service = service(now, &["good", "grey"]);
    let serial = service.start(now, "good");
    service.finish(now, "good", serial, Outcome::Success);
    for _ in 0..6 {
        let serial = service.start(now, "grey");
        service.finish(now, "grey", serial, Outcome::Failure);
    }
    service.record_report(now, "good", report(3, 100));
    assert!(chosen(&mut service, now, 50).iter().all(|it| &**it == "good"));
    let later = now + Duration::from_secs(10);
    let again = chosen(&mut service, later, 50);
    assert!(again.iter().any(|it| &**it == "grey"), "failures decay");
}

/// An upstream never answers; its requests stay in flight.
#[test]
fn never_answers() {
    let now = Instant::now();
    let mut service = service(now, &["good", "mute"]);
    service.start(now, "mute");
    let later = now + Duration::from_secs(1);
    assert!(chosen(&mut service, later, 50).iter().all(|it| &**it == "good"));
}

/// An upstream works slowly just after its start.
#[test]
fn cold_start() {
    let now = Instant::now();
    let mut service = service(now, &["warm"]);
    let cold = Registration { cold_for: Duration::from_secs(3), ..upstream("cold", "home") };
    service.put(now, cold);
    assert!(chosen(&mut service, now, 50).iter().all(|it| &**it == "warm"));
    let later = now + Duration::from_secs(4);
    assert!(chosen(&mut service, later, 50).iter().any(|it| &**it == "cold"));
}

/// An upstream is added while the others are known to be good. It must get a first request.
#[test]
fn new_upstream_tried() {
    let now = Instant::now();
    let mut service = service(now, &["old", "new"]);
    let serial = service.start(now, "old");
    service.finish(now, "old", serial, Outcome::Success);
    let later = now + Duration::from_secs(4);
    service.record_report(later, "old", report(0, 100));
    assert_eq!(service.choose(later, ROUTE, &[], Eligibility::Any).as_deref(), Some("new"));
}

/// In a large fleet only a part of the upstreams is assigned to each entry host.
#[test]
fn assigned_upstreams_first() {
    let now = Instant::now();
    let mut service = service(now, &["mine", "theirs"]);
    service.iter_mut().for_each(|it| it.is_assigned = &*it.registration.id == "mine");
    assert!(chosen(&mut service, now, 50).iter().all(|it| &**it == "mine"));
    assert_eq!(service.probe_candidates(now, &[], 1), ["mine".into()]);
    for _ in 0..6 {
        service.start(now, "mine");
    }
    assert!(
        chosen(&mut service, now, 50).iter().all(|it| &**it == "theirs"),
        "once the assigned upstream is full"
    );
}

/// An upstream leaves while others stay.
#[test]
fn leaving_upstream_skipped() {
    let now = Instant::now();
    let mut service = service(now, &["stays", "leaves"]);
    service.put(now, Registration { state: State::Leaving, ..upstream("leaves", "home") });
    assert!(chosen(&mut service, now, 50).iter().all(|it| &**it == "stays"));
}

/// Equal upstreams in several failure domains.
#[test]
fn own_domain_first() {
    let now = Instant::now();
    let mut service = service(now, &["near"]);
    service.put(now, upstream("far", "elsewhere"));
    assert!(chosen(&mut service, now, 50).iter().all(|it| &**it == "near"));
    service.record_report(now, "near", report(0, 500));
    assert!(chosen(&mut service, now, 50).iter().all(|it| &**it == "far"));
}

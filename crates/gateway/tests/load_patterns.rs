//! Where work goes, for each pattern of load that the choice answers.

use std::time::{Duration, Instant};

use gateway::{
    load::{Care, Outcome, Report, Service, Settings},
    registry::{Registration, State, UpstreamId},
};

const ROUTE: &str = "stock";

fn upstream(id: &str, domain: &str) -> Registration {
    Registration {
        id: id.into(),
        born_ms: 1,
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
    (0..count).filter_map(|_| service.choose(now, ROUTE, &[], Care::Any)).collect()
}

/// Pattern: a neighbour on the same machine slows an upstream down for a fraction of a second.
#[test]
fn noisy_neighbour() {
    let now = Instant::now();
    let mut service = service(now, &["quiet", "noisy"]);
    service.report(now, "noisy", report(0, 500));
    service.report(now, "quiet", report(0, 100));
    assert!(chosen(&mut service, now, 50).iter().all(|it| &**it == "quiet"));
    let later = now + Duration::from_secs(1);
    let again = chosen(&mut service, later, 50);
    assert!(again.iter().any(|it| &**it == "noisy"), "an old report says nothing any more");
}

/// Pattern: a flood, in which work sent to disturbed upstreams would hold their slots for several
/// times as long. It waits for an undisturbed one instead.
#[test]
fn disturbed_in_a_flood() {
    let now = Instant::now();
    let mut service = service(now, &["noisy", "quiet"]);
    service.report(now, "noisy", report(0, 500));
    service.report(now, "quiet", report(0, 100));
    let mut sent = 0;
    while let Some(id) = service.choose(now, ROUTE, &[], Care::Undisturbed) {
        assert_eq!(&*id, "quiet");
        service.start(now, &id);
        sent += 1;
    }
    assert_eq!(sent, 6, "all slots of the quiet one");
    assert_eq!(service.choose(now, ROUTE, &[], Care::Idle), None);
    let later = now + Duration::from_millis(50);
    assert_eq!(service.unknown(later, &[], 3), ["noisy".into()], "reports grow old");
}

/// Pattern: all upstreams have become slow, and waiting for a better one would be in vain.
#[test]
fn all_disturbed() {
    let now = Instant::now();
    let mut service = service(now, &["one", "other"]);
    service.report(now, "one", report(0, 500));
    service.report(now, "other", report(0, 500));
    assert_eq!(service.choose(now, ROUTE, &[], Care::Undisturbed), None);
    let chosen = service.choose(now, ROUTE, &[], Care::Idle).expect("an idle one");
    service.start(now, &chosen);
    let second = service.choose(now, ROUTE, &[], Care::Idle).expect("the other one");
    assert_ne!(chosen, second);
}

/// Pattern: upstreams slow down once they are nearly full, so full ones get fuller.
#[test]
fn nearly_full() {
    let now = Instant::now();
    let mut service = service(now, &["u"]);
    let work = Duration::from_millis(100);
    let route = ROUTE.into();
    let fill = |service: &mut Service, took: Duration| {
        let mut sent = Vec::new();
        while let Some(id) = service.choose(now, ROUTE, &[], Care::Any) {
            sent.push(service.start(now, &id));
        }
        let count = sent.len();
        for (place, serial) in sent.into_iter().enumerate() {
            let is_crowded = place >= 4;
            service.answered("u", serial, &route, if is_crowded { took } else { work });
            service.finish(now, "u", serial, Outcome::Success);
        }
        count
    };
    assert_eq!(fill(&mut service, work), 6, "nothing speaks against using all slots");
    for _ in 0..5 {
        fill(&mut service, work * 2);
    }
    assert!(service.slows_when_full());
    assert_eq!(fill(&mut service, work * 2), 4, "four fifths of the slots");
    service.forget(Duration::from_mins(1));
    assert_eq!(fill(&mut service, work), 6, "it is tried again after some time");
}

/// Pattern: several entry hosts send to the same upstreams at the same time.
#[test]
fn shared_upstreams() {
    let now = Instant::now();
    let mut service = service(now, &["u"]);
    service.peer_load(now, 1, "u", 3);
    service.peer_load(now, 2, "u", 3);
    assert_eq!(service.choose(now, ROUTE, &[], Care::Any), None);
    service.forget_peer(2);
    assert!(service.choose(now, ROUTE, &[], Care::Any).is_some());
    service.peer_load(now, 1, "u", 9);
    let later = now + Settings::default().peer_memory;
    assert!(
        service.choose(later, ROUTE, &[], Care::Any).is_some(),
        "a peer that is silent is forgotten"
    );
}

/// Pattern: an upstream fails its requests quickly and seems to be the least loaded.
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
    service.report(now, "good", report(3, 100));
    assert!(chosen(&mut service, now, 50).iter().all(|it| &**it == "good"));
    let later = now + Duration::from_secs(10);
    let again = chosen(&mut service, later, 50);
    assert!(again.iter().any(|it| &**it == "grey"), "failures are forgotten");
}

/// Pattern: an upstream never answers; its requests stay in flight.
#[test]
fn never_answers() {
    let now = Instant::now();
    let mut service = service(now, &["good", "mute"]);
    service.start(now, "mute");
    let later = now + Duration::from_secs(1);
    assert!(chosen(&mut service, later, 50).iter().all(|it| &**it == "good"));
}

/// Pattern: an upstream that has just started works slowly.
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

/// Pattern: upstreams are added, and the others are known and good.
#[test]
fn joining() {
    let now = Instant::now();
    let mut service = service(now, &["old", "new"]);
    let serial = service.start(now, "old");
    service.finish(now, "old", serial, Outcome::Success);
    let later = now + Duration::from_secs(4);
    service.report(later, "old", report(0, 100));
    assert_eq!(service.choose(later, ROUTE, &[], Care::Any).as_deref(), Some("new"));
}

/// Pattern: a large fleet, in which each entry host looks after a part of the upstreams.
#[test]
fn own_upstreams_first() {
    let now = Instant::now();
    let mut service = service(now, &["mine", "theirs"]);
    service.iter_mut().for_each(|it| it.is_preferred = &*it.registration.id == "mine");
    assert!(chosen(&mut service, now, 50).iter().all(|it| &**it == "mine"));
    assert_eq!(service.unknown(now, &[], 1), ["mine".into()]);
    for _ in 0..6 {
        service.start(now, "mine");
    }
    assert!(chosen(&mut service, now, 50).iter().all(|it| &**it == "theirs"), "when full");
}

/// Pattern: an upstream leaves while others stay.
#[test]
fn leaving() {
    let now = Instant::now();
    let mut service = service(now, &["stays", "leaves"]);
    service.put(now, Registration { state: State::Leaving, ..upstream("leaves", "home") });
    assert!(chosen(&mut service, now, 50).iter().all(|it| &**it == "stays"));
}

/// Pattern: equal upstreams in several failure domains.
#[test]
fn own_domain_first() {
    let now = Instant::now();
    let mut service = service(now, &["near"]);
    service.put(now, upstream("far", "elsewhere"));
    assert!(chosen(&mut service, now, 50).iter().all(|it| &**it == "near"));
    service.report(now, "near", report(0, 500));
    assert!(chosen(&mut service, now, 50).iter().all(|it| &**it == "far"));
}

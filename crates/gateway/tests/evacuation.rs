//! Evacuation of failure domains: what is known, from whom, and its effect on the choice of upstreams
//! and on waiting requests. No network is used.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use futures_util::task::noop_waker;
use gateway::{
    Settings,
    config::{Config, Route, Service},
    dispatcher::Request,
    gateway::Gateway,
    load::{Domains, Eligibility},
    peer::Phase,
    registry::{
        Change, Domain, EvacuationRecord, Evacuations, MAX_DOMAINS, Progress, REWRITE_TIME,
        Registration, Stamp, State,
    },
    wire::{Names, Protocol},
};

const SERVICE: &str = "stock";
const OTHER_SERVICE: &str = "orders";

fn registration(id: &str, domain: &str) -> Registration {
    Registration {
        id: id.into(),
        born_ms: 1,
        seq: 1,
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: domain.into(),
        slots: 1,
        state: State::Ready,
        cold_for: Duration::ZERO,
    }
}

fn config(version: u64, services: &[&str]) -> Config {
    let service =
        |it: &&str| Service { id: (*it).into(), connection_limit: 100, ..Service::default() };
    Config { version, services: services.iter().map(service).collect(), ..Config::default() }
}

/// A daemon with the upstreams `u` in the domain `a` and `v` in `b`, each with one slot.
fn daemon() -> (Rc<Gateway>, Arc<clock::Manual>) {
    let clock = Arc::new(clock::Manual::default());
    let protocol =
        Protocol { names: Names::default(), parse_load: |_| None, directory: |_, _| String::new() };
    let gateway =
        Gateway::new(Settings::default(), Arc::<clock::Manual>::clone(&clock), protocol, 1);
    gateway.set_config(config(1, &[SERVICE]), "test");
    put(&gateway, registration("u", "a"));
    put(&gateway, registration("v", "b"));
    (gateway, clock)
}

fn put(gateway: &Rc<Gateway>, registration: Registration) {
    let known = gateway.registry.borrow().end();
    let change = Change::Put(registration);
    let now = gateway.now();
    gateway.registry.borrow_mut().apply(now, change.clone());
    gateway.registry.borrow_mut().advance(known + 1);
    gateway.apply(&change, "test");
}

fn stamp(epoch: u32, end: u64) -> Stamp {
    Stamp { era: 0, epoch, end }
}

fn domains(names: &[&str]) -> BTreeSet<Domain> {
    names.iter().map(|it| Domain::from(*it)).collect()
}

fn state(epoch: u32, end: u64, names: &[&str]) -> Evacuations {
    Evacuations { epoch, end, domains: domains(names), ..Evacuations::default() }
}

fn record(offset: u64, domain: &str, is_evacuated: bool) -> EvacuationRecord {
    EvacuationRecord { offset, domain: domain.into(), is_evacuated }
}

fn names(domains: &BTreeSet<Domain>) -> Vec<&str> {
    domains.iter().map(|it| &**it).collect()
}

/// Reads the newest records of the store.
fn read_newest(gateway: &Rc<Gateway>, end: u64, evacuated: &[&str]) -> Progress {
    let records = evacuated.iter().map(|it| record(0, it, true)).collect();
    gateway.apply_newest_evacuations(gateway.evacuation_stamp(), end, records)
}

/// Reads one record of the store.
fn read_record(gateway: &Rc<Gateway>, offset: u64, domain: &str, is_evacuated: bool) -> Progress {
    let records = [record(offset, domain, is_evacuated)];
    let started = gateway.evacuation_stamp();
    gateway.apply_evacuation_records(started, offset, offset + 1, &records)
}

/// Upstreams that a request may be sent to now.
fn open(gateway: &Gateway, service: &str) -> Vec<String> {
    let dispatcher = gateway.dispatcher(service).unwrap();
    let mut service = dispatcher.service.borrow_mut();
    let mut res = Vec::new();
    loop {
        let tried: Vec<Arc<str>> = res.iter().map(|it: &String| it.as_str().into()).collect();
        let Some(id) = service.choose(gateway.now(), "r", &tried, Eligibility::Any) else { break };
        res.push(id.to_string());
    }
    res.sort();
    res
}

fn request<'a>(gateway: &Gateway, route: &'a Route) -> Request<'a> {
    let now = gateway.now();
    Request {
        route,
        priority: route.priority,
        tenant: None,
        domains: Domains::default(),
        tried: &[],
        received: now,
        deadline: now + Duration::from_secs(10),
        time_limit: Duration::from_secs(10),
    }
}

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 9], 7_200))
}

/// An evacuated domain gets neither requests nor probes and does not count as capacity; the record's
/// deletion returns it.
#[test]
fn choice() {
    let (gateway, _clock) = daemon();
    let capacity = || {
        let dispatcher = gateway.dispatcher(SERVICE).unwrap();
        dispatcher.service.borrow().capacity(gateway.now())
    };
    let probed = || {
        let dispatcher = gateway.dispatcher(SERVICE).unwrap();
        let mut service = dispatcher.service.borrow_mut();
        let mut res = service.probe_candidates(gateway.now(), &[], 10);
        res.sort();
        res
    };
    read_newest(&gateway, 1, &[]);
    assert_eq!(open(&gateway, SERVICE), ["u", "v"]);
    assert_eq!(read_record(&gateway, 1, "b", true), Progress::Continue);
    assert_eq!(open(&gateway, SERVICE), ["u"]);
    assert_eq!(probed().iter().map(|it| &**it).collect::<Vec<_>>(), ["u"]);
    assert!((capacity() - 1.0).abs() < 0.01, "{}", capacity());
    assert!(!gateway.accepts_requests(&registration("v", "b")));
    assert!(gateway.accepts_requests(&registration("u", "a")));
    assert_eq!(gateway.metrics.evacuated_domains.get(), 1);
    assert!(gateway.metrics.text().contains("fireflydrum_evacuated_since_seconds{domain=\"b\"}"));
    read_record(&gateway, 2, "b", false);
    assert_eq!(open(&gateway, SERVICE), ["u", "v"]);
    assert_eq!(probed().len(), 2);
    assert_eq!(gateway.metrics.evacuated_domains.get(), 0);
    assert!(!gateway.metrics.text().contains("domain=\"b\""));
}

/// The rate of probes follows from the upstreams in service, so that these don't get the probes of an
/// evacuated domain as well.
#[test]
fn probe_rate() {
    let probes = |evacuated: &[&str]| {
        let (gateway, clock) = daemon();
        read_newest(&gateway, 1, evacuated);
        gateway.share_budgets(gateway.now());
        clock.advance(Duration::from_millis(500));
        let mut budget = gateway.probe_budget.borrow_mut();
        (0..100).filter(|_| budget.take(gateway.now())).count()
    };
    assert_eq!(probes(&[]), 40);
    assert_eq!(probes(&["b"]), 20);
}

/// An upstream that registers, changes its registration or moves after the evacuation began is
/// covered, and so is a service that a later configuration adds.
#[test]
fn later_upstreams_and_services() {
    let (gateway, _clock) = daemon();
    read_newest(&gateway, 1, &["b"]);
    put(&gateway, registration("w", "b"));
    put(&gateway, registration("v", "b"));
    assert_eq!(open(&gateway, SERVICE), ["u"]);
    put(&gateway, Registration { born_ms: 2, ..registration("v", "b") });
    assert_eq!(open(&gateway, SERVICE), ["u"]);
    put(&gateway, registration("u", "b"));
    assert!(open(&gateway, SERVICE).is_empty(), "the registration names another domain now");
    let order =
        |id, domain| Registration { service: OTHER_SERVICE.into(), ..registration(id, domain) };
    put(&gateway, order("x", "a"));
    put(&gateway, order("y", "b"));
    gateway.set_config(config(2, &[SERVICE, OTHER_SERVICE]), "test");
    assert_eq!(open(&gateway, OTHER_SERVICE), ["x"]);
}

/// A reservation made before the evacuation must not be used once the connection is open. A request
/// in progress keeps its slot until it ends.
#[test]
fn reservation_before_evacuation() {
    let (gateway, _clock) = daemon();
    read_newest(&gateway, 1, &["a"]);
    let dispatcher = gateway.dispatcher(SERVICE).unwrap();
    let route = Route::default();
    let reservation = dispatcher
        .try_reserve(gateway.now(), &request(&gateway, &route), Eligibility::Any)
        .unwrap();
    assert_eq!(&*reservation.upstream().id, "v");
    assert!(reservation.accepts_requests(gateway.now()));
    read_record(&gateway, 1, "b", true);
    assert!(!reservation.accepts_requests(gateway.now()));
    let in_flight = || dispatcher.service.borrow().get("v").unwrap().own_in_flight();
    assert_eq!(in_flight(), 1);
    drop(reservation);
    assert_eq!(in_flight(), 0);
}

/// A waiting request is not dispatched to an evacuated domain when capacity becomes free there, and
/// is served at once when the domain is taken back.
#[test]
fn waiting_queue() {
    let (gateway, _clock) = daemon();
    read_newest(&gateway, 1, &[]);
    let dispatcher = gateway.dispatcher(SERVICE).unwrap();
    let route = Route::default();
    let reserve = || {
        let request = request(&gateway, &route);
        dispatcher.try_reserve(gateway.now(), &request, Eligibility::Any).unwrap()
    };
    let (first, second) = (reserve(), reserve());
    let (at_u, at_v) = if &*first.upstream().id == "u" { (first, second) } else { (second, first) };
    let waiting = request(&gateway, &route);
    let mut waiting = pin!(dispatcher.wait(gateway.now(), &waiting));
    let waker = noop_waker();
    let mut context = Context::from_waker(&waker);
    assert!(waiting.as_mut().poll(&mut context).is_pending());
    // The upstream's condition is known, so that the request need not wait for a probe.
    let report = gateway::load::Report { running: 0, waiting: 0, slots: 1, pace_percent: 100 };
    dispatcher.service.borrow_mut().record_report(gateway.now(), "v", report);
    read_record(&gateway, 1, "b", true);
    drop(at_v);
    assert!(waiting.as_mut().poll(&mut context).is_pending(), "sent to an evacuated domain");
    assert_eq!(dispatcher.queue_len(), 1);
    read_record(&gateway, 2, "b", false);
    let Poll::Ready(Ok(reservation)) = waiting.as_mut().poll(&mut context) else {
        panic!("not served when the domain was taken back")
    };
    assert_eq!(&*reservation.upstream().id, "v");
    drop(at_u);
}

/// With every domain of a service evacuated, waiting and new requests are refused at once.
#[test]
fn all_domains_evacuated() {
    let (gateway, _clock) = daemon();
    read_newest(&gateway, 1, &["a"]);
    let dispatcher = gateway.dispatcher(SERVICE).unwrap();
    let route = Route::default();
    let request = request(&gateway, &route);
    let reservation = dispatcher.try_reserve(gateway.now(), &request, Eligibility::Any).unwrap();
    let waker = noop_waker();
    let mut context = Context::from_waker(&waker);
    let mut waiting = pin!(dispatcher.wait(gateway.now(), &request));
    assert!(waiting.as_mut().poll(&mut context).is_pending());
    read_record(&gateway, 1, "b", true);
    let Poll::Ready(Err(refusal)) = waiting.as_mut().poll(&mut context) else {
        panic!("still waits though every domain is evacuated")
    };
    assert_eq!(refusal.reason, "no-upstream");
    let mut late = pin!(dispatcher.wait(gateway.now(), &request));
    let Poll::Ready(Err(refusal)) = late.as_mut().poll(&mut context) else {
        panic!("waits though every domain is evacuated")
    };
    assert_eq!(refusal.reason, "no-upstream");
    drop(reservation);
}

/// Two evacuations overlap; the end of one leaves the other in force.
#[test]
fn overlapping() {
    let (gateway, _clock) = daemon();
    put(&gateway, registration("w", "c"));
    read_newest(&gateway, 1, &["b"]);
    read_record(&gateway, 1, "c", true);
    assert_eq!(open(&gateway, SERVICE), ["u"]);
    read_record(&gateway, 2, "b", false);
    assert_eq!(open(&gateway, SERVICE), ["u", "v"]);
    read_record(&gateway, 3, "c", false);
    assert_eq!(open(&gateway, SERVICE), ["u", "v", "w"]);
}

/// A batch replaces nothing that it does not mention; a full read ends what is absent from it.
#[test]
fn full_read_replaces() {
    let (gateway, _clock) = daemon();
    read_newest(&gateway, 4, &["a", "b"]);
    assert!(open(&gateway, SERVICE).is_empty());
    let started = gateway.evacuation_stamp();
    assert_eq!(gateway.apply_evacuation_records(started, 4, 9, &[]), Progress::Continue);
    assert!(open(&gateway, SERVICE).is_empty());
    read_newest(&gateway, 10, &["b"]);
    assert_eq!(open(&gateway, SERVICE), ["u"]);
    assert_eq!(gateway.evacuation_stamp(), stamp(0, 10));
    // A deleted key may be listed without a value.
    let records = vec![record(0, "a", true), record(0, "b", false)];
    gateway.apply_newest_evacuations(gateway.evacuation_stamp(), 11, records);
    assert_eq!(open(&gateway, SERVICE), ["v"]);
}

/// A deletion is read late: until then the domain stays evacuated, and afterwards neither a late
/// record of the evacuation nor a peer that knows less brings it back.
#[test]
fn late_deletion() {
    let (gateway, _clock) = daemon();
    read_newest(&gateway, 9, &[]);
    let started = gateway.evacuation_stamp();
    read_record(&gateway, 9, "b", true);
    gateway.adopt_evacuations(&state(0, 11, &[]), peer());
    assert_eq!(open(&gateway, SERVICE), ["u", "v"]);
    let late = [record(9, "b", true)];
    assert_eq!(gateway.apply_evacuation_records(started, 9, 10, &late), Progress::Continue);
    assert_eq!(open(&gateway, SERVICE), ["u", "v"]);
    gateway.adopt_evacuations(&state(0, 10, &["b"]), peer());
    assert_eq!(open(&gateway, SERVICE), ["u", "v"]);
    let newest = vec![record(0, "b", true)];
    assert_eq!(gateway.apply_newest_evacuations(started, 10, newest), Progress::Continue);
    assert_eq!(open(&gateway, SERVICE), ["u", "v"], "an answer older than the peer's state");
}

/// A full read that was answered before a peer's later state arrived must not look like a restart of
/// the offsets.
#[test]
fn slow_full_read() {
    let mut own = state(0, 99, &[]);
    let started = own.stamp();
    assert!(own.adopt(&state(0, 100, &["b"])));
    assert_eq!(own.apply_newest(started, 99, domains(&[])), Progress::Continue);
    assert_eq!(own, state(0, 100, &["b"]));
}

/// The store's offsets restart lower. A full read is authoritative for its reader; the other daemons
/// follow although the offset is lower, and read the store again themselves.
#[test]
fn offsets_restart() {
    let (mut reader, mut other) = (state(0, 100, &["a"]), state(0, 120, &["a"]));
    let started = reader.stamp();
    assert_eq!(reader.apply_records(started, 100, 2, &[]), Progress::ReadNewest);
    assert_eq!(reader.apply_newest(started, 2, domains(&["b"])), Progress::Continue);
    assert_eq!(reader, state(1, 2, &["b"]));
    let held = other.stamp();
    assert!(other.adopt(&reader));
    assert!(!reader.adopt(&state(0, 120, &["a"])), "the state before the restart");
    // What the other daemon's read in progress returns belongs to the old offsets.
    let old = [record(120, "a", true)];
    assert_eq!(other.apply_records(held, 120, 121, &old), Progress::ReadNewest);
    assert_eq!(other.apply_newest(held, 121, domains(&["a"])), Progress::ReadNewest);
    assert_eq!(other, state(1, 2, &["b"]));
    let mut further = state(1, 130, &["b"]);
    assert_eq!(
        further.apply_records(held, 120, 131, &[record(130, "a", true)]),
        Progress::ReadNewest
    );
    assert_eq!(further, state(1, 130, &["b"]));
    let started = other.stamp();
    assert_eq!(other.apply_newest(started, 3, domains(&["b", "c"])), Progress::Continue);
    assert_eq!(other, state(1, 3, &["b", "c"]));
    assert!(reader.adopt(&other));
    assert_eq!(names(&reader.domains), ["b", "c"]);
}

/// A daemon that adopts the state of another epoch reads the store at once: its read in progress waits at
/// an offset that may have lost its meaning.
#[test]
fn epoch_from_peer() {
    let (gateway, _clock) = daemon();
    read_newest(&gateway, 9, &[]);
    let waker = noop_waker();
    let mut context = Context::from_waker(&waker);
    gateway.adopt_evacuations(&state(0, 10, &["b"]), peer());
    assert!(pin!(gateway.config_wanted.notified()).poll(&mut context).is_pending());
    gateway.adopt_evacuations(&state(1, 3, &["b"]), peer());
    assert!(pin!(gateway.config_wanted.notified()).poll(&mut context).is_ready());
}

/// The offsets restart and reach the old end again with other records.
#[test]
fn offsets_restart_at_same_end() {
    let mut own = state(0, 5, &["a"]);
    let started = own.stamp();
    assert_eq!(own.apply_newest(started, 5, domains(&["b"])), Progress::Continue);
    assert_eq!(own, state(1, 5, &["b"]));
    let started = own.stamp();
    assert_eq!(own.apply_newest(started, 5, domains(&["b"])), Progress::Continue);
    assert_eq!(own, state(1, 5, &["b"]), "an unchanged set starts no epoch");
}

/// A daemon has adopted an end that the store never had, from a datagram that is not genuine. Its next
/// read must not be hidden behind it.
#[test]
fn end_beyond_the_store() {
    let mut own = state(0, 5, &[]);
    assert!(own.adopt(&state(0, u64::MAX, &["a"])));
    let started = own.stamp();
    let read = [record(5, "b", true)];
    assert_eq!(own.apply_records(started, 5, 6, &read), Progress::ReadNewest);
    assert_eq!(own.apply_newest(started, 6, domains(&["b"])), Progress::Continue);
    assert_eq!(own, state(1, 6, &["b"]));
    assert!(!own.adopt(&state(0, u64::MAX, &["a"])));
    assert!(!own.adopt(&state(u32::MAX, 7, &["a"])), "an epoch that could not be superseded");
}

/// A state that lies behind the position of a reader leaves a gap that only a full read can fill.
#[test]
fn state_behind_position() {
    let mut own = state(0, 5, &[]);
    let started = own.stamp();
    assert_eq!(own.apply_records(started, 7, 8, &[]), Progress::ReadNewest);
    assert_eq!(own, state(0, 5, &[]));
}

/// A daemon that has fetched its configuration from a peer keeps the offset of the evacuations that
/// it knows, and catches up with states of peers as before.
#[test]
fn configuration_from_peer() {
    let (gateway, _clock) = daemon();
    gateway.adopt_evacuations(&state(0, 5, &["b"]), peer());
    gateway.set_config(config(7, &[SERVICE]), "peer");
    assert_eq!(gateway.evacuation_stamp(), stamp(0, 5));
    gateway.adopt_evacuations(&state(0, 6, &[]), peer());
    assert_eq!(open(&gateway, SERVICE), ["u", "v"]);
}

/// A daemon that starts is not ready before it knows the evacuations, from the store or from a peer.
#[test]
fn start() {
    for is_from_peer in [false, true] {
        let (gateway, _clock) = daemon();
        gateway.mark_registry_read();
        assert_eq!(gateway.phase.get(), Phase::Starting);
        gateway.adopt_evacuations(&Evacuations::default(), peer());
        assert_eq!(gateway.phase.get(), Phase::Starting);
        if is_from_peer {
            gateway.adopt_evacuations(&state(0, 3, &["b"]), peer());
        } else {
            read_newest(&gateway, 3, &["b"]);
        }
        assert_eq!(gateway.phase.get(), Phase::Ready);
        assert_eq!(open(&gateway, SERVICE), ["u"]);
    }
}

/// What a daemon reads is broadcast twice, since datagrams get lost; what it has from a peer is not
/// broadcast, since the reader does that.
#[test]
fn broadcast_repeated() {
    let (gateway, clock) = daemon();
    read_newest(&gateway, 1, &[]);
    assert!(!gateway.take_evacuation_repeat());
    read_record(&gateway, 1, "b", true);
    assert!(!gateway.take_evacuation_repeat());
    clock.advance(Duration::from_millis(200));
    assert!(gateway.take_evacuation_repeat());
    assert!(!gateway.take_evacuation_repeat());
    gateway.adopt_evacuations(&state(0, 3, &[]), peer());
    clock.advance(Duration::from_secs(1));
    assert!(!gateway.take_evacuation_repeat());
}

/// Most heartbeats are lost, and one daemon hears nothing from the only one that reads the store.
/// Every heartbeat carries the whole state, so the other daemons pass it on.
#[test]
fn lost_heartbeats() {
    const DAEMONS: usize = 12;
    const HEARTBEAT_MS: u64 = 800;
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = vec![state(0, 5, &[]); DAEMONS];
        let started = fleet[0].stamp();
        fleet[0].apply_records(started, 5, 6, &[record(5, "b", true)]);
        let phases: Vec<u64> = (0..DAEMONS).map(|_| rng.u64(..HEARTBEAT_MS)).collect();
        for at_ms in 0..4_000 {
            for from in (0..DAEMONS).filter(|it| at_ms % HEARTBEAT_MS == phases[*it]) {
                let sent = fleet[from].clone();
                for (to, it) in fleet.iter_mut().enumerate() {
                    let is_cut = from == 0 && to == DAEMONS - 1;
                    if !is_cut && rng.f64() >= 0.7 {
                        it.adopt(&sent);
                    }
                }
            }
        }
        for it in &fleet {
            assert_eq!(*it, state(0, 6, &["b"]), "seed {seed}");
        }
    }
}

/// Names that are empty, too long or not text are ignored, and so are domains beyond the bound; what
/// found no room is read again once a domain is taken back.
#[test]
fn bounds() {
    let mut own = state(0, 1, &[]);
    let long = "d".repeat(65);
    for it in ["", &*long, "\u{FFFD}"] {
        let started = own.stamp();
        own.apply_records(started, own.end, own.end + 1, &[record(own.end, it, true)]);
    }
    assert_eq!(own, state(0, 4, &[]));
    let started = own.stamp();
    let many: Vec<_> = (4..80).map(|it| record(it, &format!("d-{it}"), true)).collect();
    assert_eq!(own.apply_records(started, 4, 80, &many), Progress::Continue);
    assert_eq!(own.domains.len(), MAX_DOMAINS);
    assert!(own.is_plausible());
    let started = own.stamp();
    let back = [record(80, "d-4", false)];
    assert_eq!(own.apply_records(started, 80, 81, &back), Progress::ReadNewest);
    let all: Vec<_> = (5..80).map(|it| Domain::from(format!("d-{it}"))).collect();
    let started = own.stamp();
    assert_eq!(own.apply_newest(started, 82, all.clone()), Progress::Continue);
    assert_eq!(own.domains.len(), MAX_DOMAINS);
    let mut peer = state(0, 1, &[]);
    let too_many =
        Evacuations { end: 99, domains: all.into_iter().collect(), ..Evacuations::default() };
    assert!(!peer.adopt(&too_many));
    assert!(!peer.adopt(&state(0, 99, &[""])));
}

/// A domain without upstreams is accepted: its upstreams may register later.
#[test]
fn unknown_domain() {
    let (gateway, _clock) = daemon();
    gateway.mark_registry_read();
    read_newest(&gateway, 1, &["nowhere"]);
    assert_eq!(open(&gateway, SERVICE), ["u", "v"]);
    put(&gateway, registration("w", "nowhere"));
    assert_eq!(open(&gateway, SERVICE), ["u", "v"]);
}

/// The store comes back from an older copy: what is read at offsets of the era before is not applied, and
/// the domains evacuated before stay so until they are written again or the hold ends.
#[test]
fn later_era() {
    let mut own = state(2, 9, &["a", "b"]);
    let started = own.stamp();
    assert!(own.begin_era(1));
    assert!(!own.begin_era(1));
    assert!(own.stamp() > started, "peers adopt a later era in spite of its lower offsets");
    let read = [record(9, "c", true)];
    assert_eq!(own.apply_records(started, 9, 10, &read), Progress::ReadNewest);
    assert_eq!(own.apply_newest(own.stamp(), 4, domains(&["a"])), Progress::Continue);
    assert_eq!((names(&own.domains), names(&own.in_force())), (vec!["a"], vec!["a", "b"]));
    let mut peer = state(0, 99, &["d"]);
    assert!(peer.adopt(&own));
    assert_eq!(names(&peer.in_force()), ["a", "d"]);
    assert!(!own.adopt(&state(5, 200, &["e"])), "a state of an earlier era is older");
    let taken_back = [record(4, "b", true), record(5, "b", false)];
    assert_eq!(own.apply_records(own.stamp(), 4, 6, &taken_back), Progress::Continue);
    assert_eq!(names(&own.in_force()), ["a"]);
    peer.end_hold();
    assert_eq!(names(&peer.in_force()), ["a"]);
}

/// An evacuation that the older copy lacks holds for a while and ends if nobody writes it again.
#[test]
fn lost_evacuation_held() {
    let (gateway, clock) = daemon();
    read_newest(&gateway, 9, &["a"]);
    assert!(gateway.begin_evacuation_era(1));
    read_newest(&gateway, 4, &[]);
    gateway.end_evacuation_hold();
    assert!(gateway.is_evacuated("a"));
    clock.advance(REWRITE_TIME);
    gateway.end_evacuation_hold();
    assert!(!gateway.is_evacuated("a"));
}

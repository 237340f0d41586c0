//! Requests to cold upstreams: all daemons together stay within what one tolerates in any second, and
//! each one gets some requests.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use gateway::{
    load::{Eligibility, Outcome, Service, Settings, SlowStart},
    peer::placement::{Daemon, Placement},
    registry::{Registration, State, UpstreamId},
    upstream::ColdTime,
};

const ROUTE: &str = "stock";
const STEP: Duration = Duration::from_millis(10);
const SERVICE_TIME: Duration = Duration::from_millis(100);
const WINDOW: Duration = Duration::from_secs(1);
const COLD: Duration = Duration::from_mins(1);

fn slow_start(warmup_per_s: f64) -> SlowStart {
    SlowStart { duration: COLD, warmup_per_s, ..SlowStart::default() }
}

/// The most requests that an upstream may get in any second.
fn limit(warmup_per_s: f64) -> f64 {
    warmup_per_s * 1.5 + 8.0
}

fn upstream(number: usize, cold_for: Duration) -> Registration {
    Registration {
        id: format!("u-{number}").into(),
        born_ms: 1,
        seq: 1,
        service: "stock".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: format!("domain-{}", number % 4).into(),
        slots: 6,
        state: State::Ready,
        cold_for,
    }
}

fn daemon(number: usize) -> Daemon {
    let address = SocketAddr::from(([10, 0, 1, u8::try_from(number).unwrap()], 7_200));
    Daemon { address, domain: format!("domain-{}", number % 4).into() }
}

/// One daemon with its view of the others.
struct Host {
    number: usize,
    service: Service,
    presence: f64,
    in_flight: VecDeque<(Instant, UpstreamId, u64)>,
    carry: f64,
}

/// Several daemons that send to the same upstreams.
struct Fleet {
    now: Instant,
    rng: fastrand::Rng,
    hosts: Vec<Host>,
    sent: BTreeMap<UpstreamId, VecDeque<Instant>>,
    /// Upstreams to which the limit applies, and since when.
    limited: BTreeMap<UpstreamId, Instant>,
    max_in_window: usize,
    held: u64,
    rate: f64,
}

impl Fleet {
    /// Creates `hosts` daemons that have found upstreams which are cold for the given times.
    fn new(hosts: usize, rate: f64, cold_times: &[Duration]) -> Self {
        let now = Instant::now();
        let host = |number| {
            let mut service =
                Service::new(Settings::default(), daemon(number).domain, number as u64);
            service.set_slow_start(slow_start(rate));
            for (number, it) in cold_times.iter().enumerate() {
                service.put_found(now, upstream(number, *it));
            }
            Host { number, service, presence: 1.0, in_flight: VecDeque::new(), carry: 0.0 }
        };
        let hosts: Vec<_> = (0..hosts).map(host).collect();
        let is_cold = |it: &(usize, &Duration)| !it.1.is_zero();
        let limited = cold_times.iter().enumerate().filter(is_cold);
        let limited = limited.map(|(it, _)| (upstream(it, COLD).id, now)).collect();
        let all = all(hosts.len());
        let mut res = Self {
            now,
            rng: fastrand::Rng::with_seed(3),
            hosts,
            sent: BTreeMap::new(),
            limited,
            max_in_window: 0,
            held: 0,
            rate,
        };
        for it in &all {
            res.place(*it, &all, 1.0);
        }
        res
    }

    /// Makes a daemon see `members` as the live daemons, a part of all known ones.
    fn place(&mut self, number: usize, members: &[usize], presence: f64) {
        let host = &mut self.hosts[number];
        let mut placement = Placement::default();
        let daemons = members.iter().map(|it| daemon(*it)).collect();
        placement.reset(daemon(number), daemons, BTreeSet::new());
        placement.add_service(&mut host.service);
        host.presence = presence;
    }

    /// Serves `per_s` requests a second, spread over the daemons in `used`.
    fn run(&mut self, time: Duration, per_s: f64, used: &[usize]) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for number in 0..self.hosts.len() {
                let is_used = used.contains(&number);
                self.step(number, if is_used { per_s / used.len() as f64 } else { 0.0 });
            }
            self.check();
        }
    }

    fn step(&mut self, number: usize, per_s: f64) {
        let now = self.now;
        let host = &mut self.hosts[number];
        assert_eq!(host.number, number);
        host.service.share_slow_start(now, host.presence);
        while let Some((at, id, serial)) = host.in_flight.front().cloned()
            && at + SERVICE_TIME <= now
        {
            host.in_flight.pop_front();
            host.service.finish(now, &id, serial, Outcome::Success);
        }
        host.carry += per_s * STEP.as_secs_f64() * 2.0 * self.rng.f64();
        while host.carry >= 1.0 {
            host.carry -= 1.0;
            let Some(id) = host.service.choose(now, ROUTE, &[], Eligibility::Any) else {
                host.service.record_held(now, &[]);
                self.held += host.service.take_held();
                continue;
            };
            let serial = host.service.start(now, &id);
            host.in_flight.push_back((now, id.clone(), serial));
            self.sent.entry(id).or_default().push_back(now);
        }
    }

    fn check(&mut self) {
        let now = self.now;
        for (id, since) in &self.limited {
            let Some(sent) = self.sent.get(id) else { continue };
            let is_recent = |at: &&Instant| **at >= *since && now.duration_since(**at) < WINDOW;
            let count = sent.iter().rev().take_while(is_recent).count();
            self.max_in_window = self.max_in_window.max(count);
            let allowed = limit(self.rate);
            assert!(count as f64 <= allowed, "{count} requests to {id} in a second, not {allowed}");
        }
    }

    fn count(&self, number: usize) -> usize {
        self.sent.get(&upstream(number, COLD).id).map_or(0, VecDeque::len)
    }
}

fn all(count: usize) -> Vec<usize> {
    (0..count).collect()
}

/// Half of a service is cold while the other half could serve everything. Guards against too many
/// requests to cold upstreams, and against cold ones that get none.
#[test]
fn half_cold() {
    for (hosts, rate) in [(1, 3.6), (6, 3.6), (40, 3.6), (40, 8.6), (171, 8.6)] {
        let times: Vec<_> =
            (0..20).map(|it| if it % 2 == 0 { COLD } else { Duration::ZERO }).collect();
        let mut fleet = Fleet::new(hosts, rate, &times);
        for _ in 0..3 {
            let before: Vec<_> = (0..20).map(|it| fleet.count(it)).collect();
            fleet.run(Duration::from_secs(4), 150.0, &all(hosts));
            for it in (0..20).step_by(2) {
                assert!(fleet.count(it) > before[it], "{hosts} hosts: u-{it} got nothing in 4 s");
            }
        }
        let sent: usize = (0..20).step_by(2).map(|it| fleet.count(it)).sum();
        assert!(sent as f64 <= 12.0 * 10.0 * rate * 1.1, "{hosts} hosts: {sent} in 12 s");
    }
}

/// All upstreams of a service are cold. What they tolerate is used, and nothing beyond it.
#[test]
fn all_cold() {
    for hosts in [6, 40] {
        let mut fleet = Fleet::new(hosts, 8.6, &[COLD; 20]);
        fleet.run(Duration::from_secs(12), 400.0, &all(hosts));
        let sent: usize = (0..20).map(|it| fleet.count(it)).sum();
        let share = sent as f64 / (12.0 * 20.0 * 8.6);
        assert!((0.7..=1.05).contains(&share), "{hosts} hosts: {share} of the rate");
        assert!(fleet.held > 0, "requests that find only cold upstreams are counted");
    }
}

/// Upstreams become cold while they are in full use, one after another and all at once, and warm
/// again after 5 s. Guards against sending on at the usual rate once that is known, and against
/// holding requests back afterwards.
#[test]
fn cold_again() {
    let mut fleet = Fleet::new(40, 3.6, &[Duration::ZERO; 10]);
    let cold_for = Duration::from_secs(5);
    for affected in [0..1, 1..2, 0..10] {
        fleet.run(Duration::from_secs(2), 400.0, &all(40));
        for number in affected.clone() {
            let id = upstream(number, COLD).id;
            let now = fleet.now;
            fleet.limited.insert(id.clone(), now + STEP);
            assert!(fleet.hosts[7].service.record_health(now, &id, cold_for), "peers are informed");
            assert!(!fleet.hosts[7].service.record_health(now, &id, cold_for), "and only once");
            for it in &mut fleet.hosts {
                it.service.record_peer_temperature(now, &id, cold_for);
            }
        }
        fleet.run(cold_for.saturating_sub(STEP), 400.0, &all(40));
        fleet.limited.clear();
        let before: Vec<_> = (0..10).map(|it| fleet.count(it)).collect();
        fleet.run(Duration::from_secs(1), 400.0, &all(40));
        for number in affected {
            let added = fleet.count(number) - before[number];
            assert!(added > 20, "u-{number} is used like the others again: {added}");
        }
    }
}

/// A daemon joins and shares the rate while the others learn of it half a second later, again and
/// again.
#[test]
fn joining_daemons() {
    let mut fleet = Fleet::new(20, 3.6, &[COLD; 4]);
    for joined in 5..20 {
        fleet.place(joined, &all(joined + 1), 1.0);
        fleet.run(Duration::from_millis(500), 200.0, &all(joined + 1));
        (0..joined).for_each(|it| fleet.place(it, &all(joined + 1), 1.0));
        fleet.run(Duration::from_millis(700), 200.0, &all(joined + 1));
    }
}

/// All callers move to other daemons, and the former ones learn of it 0.9 s later. Guards against
/// the rate being used twice meanwhile.
#[test]
fn moving_callers() {
    let mut fleet = Fleet::new(40, 8.6, &[COLD; 4]);
    let halves: [Vec<_>; 2] = [(0..20).collect(), (20..40).collect()];
    (0..40).for_each(|it| fleet.place(it, &halves[0], 1.0));
    fleet.run(Duration::from_secs(3), 200.0, &halves[0]);
    for round in 0..6 {
        let (old, new) = (&halves[round % 2], &halves[(round + 1) % 2]);
        for it in new {
            fleet.place(*it, new, 1.0);
        }
        fleet.run(Duration::from_millis(900), 200.0, &all(40));
        for it in old {
            fleet.place(*it, new, 1.0);
        }
        fleet.run(Duration::from_millis(2_500), 200.0, new);
    }
    assert!(fleet.max_in_window <= 8 + 4 + 1, "{} in a second", fleet.max_in_window);
}

/// Every way of cutting 12 daemons into groups: together they hold back at most what the limit allows
/// in addition, and use at most 1.5 times the rate.
#[test]
fn shares_of_groups() {
    fn check(limit: &SlowStart, left: u32, largest: u32, held: f64, rate: f64) {
        let allowed = limit.warmup_per_s * limit.overshoot + limit.slack;
        assert!(held + rate <= allowed + 1e-9, "{held} held back and {rate} a second");
        for size in 1..=largest.min(left) {
            let (sharers, each) = limit.shares(f64::from(size) / 12.0);
            let sharers = sharers as f64;
            check(limit, left - size, size, held + sharers, rate + sharers * each);
        }
    }
    for warmup_per_s in [0.5, 3.6, 8.6, 50.0] {
        check(&slow_start(warmup_per_s), 12, 12, 0.0, 0.0);
        let (sharers, each) = slow_start(warmup_per_s).shares(1.0);
        assert!((sharers as f64 * each - warmup_per_s).abs() < 1e-9, "the whole rate is used");
    }
    let strict = SlowStart { slack: 0.0, ..slow_start(8.6) };
    assert_eq!(strict.shares(1.0).0, 2, "fewer sharers with less slack");
}

/// The fleet is cut into groups that can't know of each other's requests, and callers reach all of
/// them.
#[test]
fn cut_fleet() {
    for seed in 0..12 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let hosts = [6, 40][rng.usize(..2)];
        let rate = [3.6, 8.6][rng.usize(..2)];
        let mut fleet = Fleet::new(hosts, rate, &[COLD; 3]);
        for _ in 0..3 {
            let groups = rng.usize(1..=hosts);
            let group_of: Vec<_> = (0..hosts).map(|_| rng.usize(..groups)).collect();
            for number in 0..hosts {
                let is_member = |it: &usize| group_of[*it] == group_of[number];
                let members: Vec<_> = (0..hosts).filter(is_member).collect();
                fleet.place(number, &members, members.len() as f64 / hosts as f64);
                // The cut is noticed at different times.
                fleet.run(STEP, 400.0, &all(hosts));
            }
            fleet.run(Duration::from_secs(3), 400.0, &all(hosts));
        }
    }
}

/// What is known of an upstream decides whether it counts as cold.
#[test]
fn known_or_not() {
    let now = Instant::now();
    let mut service = Service::new(Settings::default(), "domain-0".into(), 1);
    service.set_slow_start(slow_start(3.6));
    let is_cold = |service: &Service, at, number: usize| {
        service.get(&upstream(number, COLD).id).unwrap().temperature.is_cold(at)
    };
    service.put_found(now, upstream(0, Duration::ZERO));
    assert!(!is_cold(&service, now, 0), "found warm at the start");
    service.put(now, upstream(1, Duration::ZERO));
    assert!(is_cold(&service, now, 1), "added later, nothing known");
    service.put(now, upstream(1, Duration::ZERO));
    assert!(!is_cold(&service, now, 1), "its later registration says that it is warm");
    service.put(now, upstream(3, Duration::ZERO));
    assert!(!service.record_health(now, "u-3", Duration::ZERO), "those that share its rate tell");
    service.put(now, upstream(2, Duration::ZERO));
    service.iter_mut().for_each(|it| it.temperature.set_rank(Some(1)));
    service.share_slow_start(now, 1.0);
    assert!(service.record_health(now, "u-2", Duration::ZERO), "peers are informed");
    assert!(!is_cold(&service, now, 2), "its health answer says that it is warm");

    service.put(now, upstream(0, Duration::from_secs(3)));
    assert!(is_cold(&service, now, 0), "a later registration of the same incarnation");
    service.put(now + Duration::from_secs(1), upstream(0, Duration::ZERO));
    assert!(!is_cold(&service, now + Duration::from_secs(1), 0));

    let later = now + Duration::from_secs(10);
    service.record_health(later, "u-0", Duration::from_secs(5));
    service.put(later + Duration::from_millis(300), upstream(0, Duration::ZERO));
    assert!(
        is_cold(&service, later + Duration::from_secs(1), 0),
        "an older registration, read late"
    );

    service.mark_unknown_temperature(later, "domain-1");
    assert!(is_cold(&service, later, 1), "its domain was taken back");
    assert!(!is_cold(&service, later, 2), "another domain");
    service.record_peer_temperature(later, "u-1", Duration::ZERO);
    assert!(!is_cold(&service, later, 1), "a peer has asked it");
    assert!(!is_cold(&service, later + COLD, 0), "without news, it ends with the slow start");
}

/// Values that are no times hold nothing back for long, and are reported once.
#[test]
fn odd_values() {
    for it in ["-1", "NaN", "-inf", "abc", "", "1 s", "\u{663}"] {
        assert_eq!(ColdTime::parse(it.as_bytes()), ColdTime::NoTime, "{it}");
    }
    for it in ["inf", "1e300", "600001"] {
        assert_eq!(ColdTime::parse(it.as_bytes()), ColdTime::TooLong, "{it}");
    }
    assert_eq!(ColdTime::parse(b"\xff\xfe"), ColdTime::NoTime);
    assert_eq!(ColdTime::parse(b" 250.5 "), ColdTime::Valid(Duration::from_micros(250_500)));

    let now = Instant::now();
    let mut service = Service::new(Settings::default(), "domain-0".into(), 1);
    service.set_slow_start(slow_start(3.6));
    service.put_found(now, upstream(0, Duration::MAX));
    let is_cold = |service: &Service, at| service.get("u-0").unwrap().temperature.is_cold(at);
    assert!(is_cold(&service, now) && !is_cold(&service, now + COLD), "clamped to a slow start");
    let later = now + COLD;
    assert!(!service.record_odd_temperature(later, "u-1", true), "unknown upstream");
    assert!(service.record_odd_temperature(later, "u-0", true), "reported");
    assert!(is_cold(&service, later), "may be cold");
    assert!(!service.record_odd_temperature(later + COLD, "u-0", true), "reported once");
    assert!(!is_cold(&service, later + COLD), "does not stay cold");
    service.record_health(later, "u-0", Duration::MAX);
    service.record_peer_temperature(later, "u-0", Duration::MAX);
    assert!(!is_cold(&service, later + COLD));
}

/// The daemon that checks for a slow start asks at intervals; the others ask only while nothing is
/// known and nobody tells them.
#[test]
fn checks() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let mut service = Service::new(Settings::default(), "domain-0".into(), 1);
    service.set_slow_start(slow_start(3.6));
    service.put_found(now, upstream(0, Duration::ZERO));
    assert!(service.temperature_checks(now, true).is_empty(), "not the one that checks");
    service.put(now, upstream(1, Duration::ZERO));
    assert!(service.temperature_checks(now, true).is_empty(), "peers may still learn of it");
    assert!(service.temperature_checks(now + ms(1_100), false).is_empty(), "callers use others");
    assert_eq!(service.temperature_checks(now + ms(1_100), true).len(), 1);
    assert!(service.temperature_checks(now + ms(1_200), true).is_empty(), "answer expected");
    service.iter_mut().for_each(|it| it.temperature.set_rank(Some(0)));
    assert_eq!(service.temperature_checks(now + ms(1_200), true).len(), 1, "the warm one");
    service.record_health(now + ms(1_600), "u-0", Duration::ZERO);
    assert_eq!(service.temperature_checks(now + ms(1_800), true), ["u-1".into()]);
}

/// Without a limit in the configuration nothing is held back or asked.
#[test]
fn no_limit() {
    let now = Instant::now();
    let mut service = Service::new(Settings::default(), "domain-0".into(), 1);
    service.put_found(now, upstream(0, COLD));
    service.put(now, upstream(1, Duration::ZERO));
    service.share_slow_start(now, 1.0);
    for _ in 0..12 {
        let id = service.choose(now, ROUTE, &[], Eligibility::Any).expect("free slots");
        service.start(now, &id);
    }
    assert!(!service.record_health(now, "u-1", COLD));
    assert!(!service.get("u-1").unwrap().temperature.is_cold(now));
    assert!(service.temperature_checks(now + COLD, true).is_empty());
    assert_eq!(service.cold_count(now), 0);
}

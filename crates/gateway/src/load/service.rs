//! Choice among the upstreams of one service.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use super::{HostKey, Outcome, Report, Settings, Upstream};
use crate::{
    config::RouteId,
    registry::{Domain, Registration, UpstreamId},
};

/// Share of a new sample in a mean.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Work of a request of a route that has had no answer yet.
const FIRST_WORK: Duration = Duration::from_millis(100);
/// Costs within this factor of the lowest count as equal.
const TIE: f64 = 1.05;

/// The upstreams of one service and what is known of them.
#[derive(Debug)]
pub struct Service {
    settings: Settings,
    home: Domain,
    rng: fastrand::Rng,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    works: HashMap<RouteId, f64>,
    pace: f64,
    serial: u64,
}

impl Service {
    /// A service without upstreams, on a host in the failure domain `home`.
    #[must_use]
    pub fn new(settings: Settings, home: Domain, seed: u64) -> Self {
        Self {
            settings,
            home,
            rng: fastrand::Rng::with_seed(seed),
            upstreams: BTreeMap::new(),
            works: HashMap::new(),
            pace: 1.0,
            serial: 0,
        }
    }

    /// Takes in what an upstream says of itself; true if the incarnation is new.
    pub fn put(&mut self, now: Instant, registration: Registration) -> bool {
        if let Some(it) = self.upstreams.get_mut(&registration.id)
            && it.registration.is_same_incarnation(&registration)
        {
            it.registration = registration;
            return false;
        }
        self.upstreams.insert(registration.id.clone(), Upstream::new(now, registration));
        true
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, id: &str) -> Option<Upstream> {
        self.upstreams.remove(id)
    }

    /// What is known of an upstream.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Whether any upstream takes new work.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.upstreams.values().any(Upstream::is_open)
    }

    /// Requests that all entry hosts together may have in flight.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let open = self.upstreams.values().filter(|it| it.is_open());
        open.map(|it| it.limit(&self.settings)).sum()
    }

    /// Work of a request of a route on an undisturbed upstream.
    #[must_use]
    pub fn work(&self, route: &str) -> Duration {
        self.works.get(route).map_or(FIRST_WORK, |it| Duration::from_secs_f64(*it))
    }

    /// Mean pace of the service's upstreams.
    #[must_use]
    pub fn mean_pace(&self) -> f64 {
        self.pace
    }

    /// The upstream with room where a request is expected to be done soonest, those in `tried`
    /// left out. One that fails often is chosen only when no other has room.
    pub fn choose(
        &mut self,
        now: Instant,
        route: &str,
        tried: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let work = self.work(route);
        let settings = &self.settings;
        let usable = |it: &&Upstream| {
            !tried.contains(&it.registration.id) && it.has_room(now, settings)
        };
        let weigh = |it: &Upstream| {
            let last = if it.is_failing(now, settings) { FAILING_COST } else { 0.0 };
            it.cost(now, settings, self.pace, work, &self.home) + last
        };
        let costs: Vec<_> =
            self.upstreams.values().filter(usable).map(|it| (weigh(it), it)).collect();
        let best = costs.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp)?;
        let equal: Vec<_> = costs.iter().filter(|(cost, _)| *cost <= best * TIE).collect();
        let (_, chosen) = equal[self.rng.usize(..equal.len())];
        Some(chosen.registration.id.clone())
    }

    /// Whether what is known of an upstream says that it is undisturbed now.
    #[must_use]
    pub fn is_known_good(&self, now: Instant, id: &str, fresh: Duration) -> bool {
        self.upstreams.get(id).is_some_and(|it| {
            it.report_age(now).is_some_and(|age| age <= fresh)
                && it.reported_pace().is_some_and(|pace| pace < self.settings.disturbed_pace)
        })
    }

    /// Up to `count` upstreams with room whose newest report is older than `fresh`.
    pub fn unknown(
        &mut self,
        now: Instant,
        tried: &[UpstreamId],
        fresh: Duration,
        count: usize,
    ) -> Vec<UpstreamId> {
        let settings = &self.settings;
        let is_unknown = |it: &&Upstream| {
            !tried.contains(&it.registration.id)
                && it.has_room(now, settings)
                && !it.is_failing(now, settings)
                && it.report_age(now).is_none_or(|age| age > fresh)
        };
        let mut res: Vec<_> = self
            .upstreams
            .values()
            .filter(is_unknown)
            .map(|it| {
                let away = it.registration.domain != self.home;
                (it.total(now, settings) + f64::from(u8::from(away)) / 2.0, &it.registration.id)
            })
            .collect();
        self.rng.shuffle(&mut res);
        res.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        res.into_iter().take(count).map(|(_, id)| id.clone()).collect()
    }

    /// Counts a request that is sent to an upstream now; gives the number that its end is told by.
    pub fn start(&mut self, now: Instant, id: &str) -> u64 {
        self.serial += 1;
        if let Some(it) = self.upstreams.get_mut(id) {
            it.start(now, self.serial);
        }
        self.serial
    }

    /// Takes in how a request ended.
    pub fn finish(&mut self, now: Instant, id: &str, serial: u64, outcome: Outcome) {
        if let Some(it) = self.upstreams.get_mut(id) {
            it.finish(now, &self.settings, serial, outcome);
        }
    }

    /// Takes in how long an upstream took for a whole answer to a request of a route.
    pub fn answered(&mut self, route: &RouteId, took: Duration, pace: f64) {
        let sample = took.as_secs_f64() / pace.max(1.0);
        let mean = self.works.entry(route.clone()).or_insert(sample);
        *mean += (sample - *mean) * SAMPLE_WEIGHT;
    }

    /// Takes in a report that an upstream gave this host at `at`.
    pub fn report(&mut self, at: Instant, id: &str, report: Report) {
        self.take_report(at, id, report, true);
    }

    /// Takes in a report that an upstream gave a peer at `at`.
    pub fn report_from_peer(&mut self, at: Instant, id: &str, report: Report) {
        self.take_report(at, id, report, false);
    }

    fn take_report(&mut self, at: Instant, id: &str, report: Report, is_own: bool) {
        let Some(it) = self.upstreams.get_mut(id) else { return };
        it.report(at, report, is_own);
        let pace = f64::from(report.pace_percent) / 100.0;
        self.pace += (pace - self.pace) * SAMPLE_WEIGHT;
    }

    /// Takes in how many requests a peer has in flight at an upstream.
    pub fn peer_load(&mut self, now: Instant, host: HostKey, id: &str, in_flight: u32) {
        if let Some(it) = self.upstreams.get_mut(id) {
            it.peer_load(now, host, in_flight);
        }
    }

    /// Forgets what a peer said.
    pub fn forget_peer(&mut self, host: HostKey) {
        self.upstreams.values_mut().for_each(|it| it.forget_peer(host));
    }
}

/// Added to the cost of an upstream that fails often, so that any other with room goes first.
const FAILING_COST: f64 = 100.0;

//! Choice among the upstreams of one service.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use super::{Care, HostKey, Outcome, Report, Settings, Standing, Upstream};
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

/// Added to the cost of an upstream that fails often, so that any other with room goes first.
const FAILING_COST: f64 = 100.0;
/// An undisturbed upstream in so many is too few to wait for.
const MOSTLY: usize = 4;
/// Requests that an upstream in the own failure domain may hold more than one elsewhere and still be
/// probed first.
const AWAY_REQUESTS: f64 = 2.0;
/// Reports of the usual pace in a row after which a service is taken never to tell of another.
const USUAL_REPORTS: u32 = 500;
/// Answers without a report in a row after which a service is taken to report nothing.
const MISSING_REPORTS: u32 = 8;
/// Pace in percent from which a service's reports are known to tell of the pace.
const PACE_SEEN_PERCENT: u32 = 130;
/// Factor of the usual time from which upstreams count as slow when they are nearly full.
const SLOW_CROWD: f64 = 1.25;
/// Largest factor that one answer may show, so that a single one can't decide.
const MAX_CROWD_COST: f64 = 2.5;
/// Share of an answer from a nearly full upstream in their mean.
const CROWD_WEIGHT: f64 = 0.1;
/// Time over which it is forgotten that upstreams slowed down when they were nearly full.
const CROWD_MEMORY: Duration = Duration::from_mins(1);

/// The upstreams of one service and what is known of them.
#[derive(Debug)]
pub struct Service {
    settings: Settings,
    home: Domain,
    rng: fastrand::Rng,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    works: HashMap<RouteId, f64>,
    pace: f64,
    usual_reports: u32,
    answers_without_report: u32,
    crowd_cost: f64,
    probe_time: Option<Duration>,
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
            usual_reports: 0,
            answers_without_report: 0,
            crowd_cost: 1.0,
            probe_time: None,
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

    /// All upstreams, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.values_mut()
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
        let slows = self.slows_when_full();
        open.map(|it| it.limit(&self.settings, slows)).sum()
    }

    /// Work of a request of a route on an undisturbed upstream.
    #[must_use]
    pub fn work(&self, route: &str) -> Duration {
        self.works.get(route).map_or(FIRST_WORK, |it| Duration::from_secs_f64(*it))
    }

    /// The upstream with room where a request is expected to be done soonest, those in `tried`
    /// left out. One that fails often is chosen only when no other has room, and one that other
    /// daemons look after only when none of the own is fit.
    pub fn choose(
        &mut self,
        now: Instant,
        route: &str,
        tried: &[UpstreamId],
        care: Care,
    ) -> Option<UpstreamId> {
        let own = self.choose_among(now, route, tried, care, |it| it.is_preferred);
        own.or_else(|| self.choose_among(now, route, tried, care, |it| !it.is_preferred))
    }

    fn choose_among(
        &mut self,
        now: Instant,
        route: &str,
        tried: &[UpstreamId],
        care: Care,
        is_member: impl Fn(&Upstream) -> bool,
    ) -> Option<UpstreamId> {
        let work = self.work(route);
        let settings = &self.settings;
        let slows = self.slows_when_full();
        let mostly_disturbed = care == Care::Idle && self.is_mostly_disturbed(now);
        let is_fit = |it: &Upstream| match care {
            Care::Any => true,
            Care::Idle => {
                let seems_good = it.pace(now, settings, self.pace, work) < settings.disturbed_pace;
                seems_good || mostly_disturbed && it.total(now, settings) < 0.5
            }
            Care::Undisturbed => self.is_undisturbed(now, it),
        };
        let usable = |it: &&Upstream| {
            is_member(it)
                && !tried.contains(&it.registration.id)
                && it.has_room(now, settings, slows)
                && is_fit(it)
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

    /// Up to `count` upstreams with room of which it isn't known how they stand.
    pub fn unknown(&mut self, now: Instant, tried: &[UpstreamId], count: usize) -> Vec<UpstreamId> {
        let settings = &self.settings;
        let slows = self.slows_when_full();
        let life = self.report_life();
        let is_unknown = |it: &&Upstream| {
            !tried.contains(&it.registration.id)
                && it.has_room(now, settings, slows)
                && !it.is_failing(now, settings)
                && it.standing(now, settings, life) == Standing::Unknown
        };
        let mut res: Vec<_> = self
            .upstreams
            .values()
            .filter(is_unknown)
            .map(|it| {
                let away = it.registration.domain != self.home;
                let total = it.total(now, settings) + f64::from(u8::from(away)) * AWAY_REQUESTS;
                ((!it.is_preferred, total), &it.registration.id)
            })
            .collect();
        self.rng.shuffle(&mut res);
        res.sort_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        res.into_iter().take(count).map(|(_, id)| id.clone()).collect()
    }

    /// Takes in that an answer came without a report.
    pub fn not_reported(&mut self) {
        self.answers_without_report = self.answers_without_report.saturating_add(1);
    }

    /// Whether reports may tell of a pace other than the usual, as far as that was seen.
    #[must_use]
    pub fn reports_pace(&self) -> bool {
        self.usual_reports < USUAL_REPORTS && self.answers_without_report < MISSING_REPORTS
    }

    /// Takes in how long a probe took.
    pub fn probed(&mut self, took: Duration) {
        let mean = self.probe_time.unwrap_or(took);
        self.probe_time = Some(mean.mul_f64(1.0 - SAMPLE_WEIGHT) + took.mul_f64(SAMPLE_WEIGHT));
    }

    /// Age up to which a report is taken as the present state.
    #[must_use]
    pub fn report_life(&self) -> Duration {
        let Settings { min_report_life: min, max_report_life: max, report_life_probes, .. } =
            self.settings;
        self.probe_time.map_or(max, |it| it.mul_f64(report_life_probes).clamp(min, max))
    }

    /// Whether upstreams work more slowly when they are nearly full, as far as that was seen.
    #[must_use]
    pub fn slows_when_full(&self) -> bool {
        self.crowd_cost >= SLOW_CROWD
    }

    /// Whether so few upstreams seem to be undisturbed that requests can't wait for one.
    fn is_mostly_disturbed(&self, now: Instant) -> bool {
        let open = || self.upstreams.values().filter(|it| it.is_open());
        let is_good = |it: &&Upstream| {
            it.reported_pace().is_none_or(|pace| pace < self.settings.disturbed_pace)
                || it.report_age(now).is_none_or(|age| age > self.settings.pace_memory)
        };
        open().filter(is_good).count() * MOSTLY < open().count()
    }

    /// A service whose reports tell of no pace is taken to be undisturbed.
    fn is_undisturbed(&self, now: Instant, it: &Upstream) -> bool {
        !self.reports_pace()
            || it.standing(now, &self.settings, self.report_life()) == Standing::Undisturbed
    }

    /// Counts a request that is sent to an upstream now; gives the number that its end is told by.
    pub fn start(&mut self, now: Instant, id: &str) -> u64 {
        self.serial += 1;
        let life = self.report_life();
        if let Some(it) = self.upstreams.get_mut(id) {
            it.start(now, &self.settings, life, self.serial);
        }
        self.serial
    }

    /// Takes in how a request ended.
    pub fn finish(&mut self, now: Instant, id: &str, serial: u64, outcome: Outcome) {
        if let Some(it) = self.upstreams.get_mut(id) {
            it.finish(now, &self.settings, serial, outcome);
        }
    }

    /// Takes in how long an upstream took for a whole answer to a request of a route; called before
    /// the request's end is told.
    pub fn answered(&mut self, id: &str, serial: u64, route: &RouteId, took: Duration) {
        let flight = self.upstreams.get(id).and_then(|it| it.flight(serial));
        let Some(flight) = flight else { return };
        let pace = flight.pace.unwrap_or(self.pace).max(1.0);
        let sample = took.as_secs_f64() / pace;
        if flight.is_crowded {
            let usual = self.work(route).as_secs_f64().max(1e-3);
            let cost = (sample / usual).min(MAX_CROWD_COST);
            self.crowd_cost += (cost - self.crowd_cost) * CROWD_WEIGHT;
            return;
        }
        let mean = self.works.entry(route.clone()).or_insert(sample);
        *mean += (sample - *mean) * SAMPLE_WEIGHT;
    }

    /// Moves time on: a service that slowed down when nearly full is tried again some time.
    pub fn forget(&mut self, elapsed: Duration) {
        let share = (elapsed.as_secs_f64() / CROWD_MEMORY.as_secs_f64()).min(1.0);
        self.crowd_cost += (1.0 - self.crowd_cost) * share;
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
        let is_usual = report.pace_percent <= PACE_SEEN_PERCENT;
        self.usual_reports = if is_usual { self.usual_reports.saturating_add(1) } else { 0 };
        self.answers_without_report = 0;
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

//! Upstream choice for one service.

mod slow_start;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use super::{
    Condition, Domains, Eligibility, HostKey, Outcome, Report, Settings, SlowStart, Temperature,
    Upstream, Work,
};
use crate::{
    config::RouteId,
    registry::{Domain, Registration, UpstreamId, Withdrawal},
};

/// Weight of a new sample in a running mean.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Assumed service time for a route without answers so far.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(100);
/// Costs within this factor of the lowest cost count as equal.
const TIE_FACTOR: f64 = 1.05;

/// Added to the cost of a failing upstream, so that any other with free capacity is chosen first.
const FAILING_COST: f64 = 100.0;
/// If fewer than one in this many upstreams that accept requests has normal pace, requests do not
/// wait for one.
const MIN_NORMAL_DIVISOR: usize = 4;
/// Additional requests in flight that an upstream in the own failure domain may have compared with
/// one in another domain and still be probed first.
const REMOTE_DOMAIN_REQUESTS: f64 = 2.0;
/// Consecutive reports of normal pace after which a service is assumed never to report any other
/// pace.
const MAX_NORMAL_REPORTS: u32 = 500;
/// Consecutive answers without a report after which a service is assumed not to report its load.
const MAX_MISSING_REPORTS: u32 = 8;
/// Highest reported pace, in percent, that counts as normal. A higher one shows that the service
/// does report its pace.
const MAX_NORMAL_PACE_PERCENT: u32 = 130;
/// Slowdown factor from which the upstreams of a service count as slow when nearly full.
const MIN_FULL_SLOWDOWN: f64 = 1.25;
/// Upper bound on the slowdown factor.
const MAX_FULL_SLOWDOWN: f64 = 2.5;
/// Change of the slowdown factor for an answer from a nearly full upstream that took longer or
/// shorter. Equal steps follow the median, which the few answers that other processes on an
/// upstream's machine delay by several times their time don't move.
const FULL_SLOWDOWN_STEP: f64 = 0.03;
/// Time over which the slowdown decays to 1.
const FULL_SLOWDOWN_DECAY: Duration = Duration::from_mins(1);

/// The upstreams of one service and their load estimates.
#[derive(Debug)]
pub struct Service {
    settings: Settings,
    domain: Domain,
    evacuated: BTreeSet<Domain>,
    rng: fastrand::Rng,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    works: HashMap<RouteId, Work>,
    mean_pace: f64,
    normal_reports: u32,
    missing_reports: u32,
    full_slowdown: f64,
    mean_probe_time: Option<Duration>,
    serial: u64,
    slow_start: SlowStart,
    held_by_slow_start: u64,
}

impl Service {
    /// Creates a service without upstreams, on a host in the failure domain `domain`.
    #[must_use]
    pub fn new(settings: Settings, domain: Domain, seed: u64) -> Self {
        Self {
            settings,
            domain,
            evacuated: BTreeSet::new(),
            rng: fastrand::Rng::with_seed(seed),
            upstreams: BTreeMap::new(),
            works: HashMap::new(),
            mean_pace: 1.0,
            normal_reports: 0,
            missing_reports: 0,
            full_slowdown: 1.0,
            mean_probe_time: None,
            serial: 0,
            slow_start: SlowStart::default(),
            held_by_slow_start: 0,
        }
    }

    /// Adds or updates an upstream from its registration; returns true if the incarnation is new.
    ///
    /// A new one counts as cold until it is known whether it is, if the service limits requests to
    /// cold upstreams.
    pub fn put(&mut self, now: Instant, registration: Registration) -> bool {
        let (id, cold_for) = (registration.id.clone(), registration.cold_for);
        let is_new = self.put_found(now, registration);
        if self.slow_start.is_limited()
            && let Some(it) = self.upstreams.get_mut(&id)
        {
            if is_new {
                it.temperature.set_unknown(now, self.slow_start.max_duration());
            } else {
                it.temperature.record_registration(now, cold_for, &self.slow_start);
            }
        }
        is_new
    }

    /// Like [`Self::put`] for the upstreams found at the start of this daemon: a new one is cold
    /// only if its registration says so.
    pub fn put_found(&mut self, now: Instant, registration: Registration) -> bool {
        if let Some(it) = self.upstreams.get_mut(&registration.id)
            && it.registration.is_same_incarnation(&registration)
        {
            it.is_evacuated = self.evacuated.contains(&registration.domain);
            it.registration = registration;
            return false;
        }
        let cold_for = registration.cold_for.min(self.slow_start.max_duration());
        let mut added = Upstream::new(now, registration);
        if self.slow_start.is_limited() {
            added.temperature = Temperature::new(now, cold_for);
            added.temperature.set_limited(true);
        }
        added.is_evacuated = self.evacuated.contains(&added.registration.domain);
        self.upstreams.insert(added.registration.id.clone(), added);
        true
    }

    /// Sets the evacuated failure domains. Upstreams in them get no new requests.
    pub fn set_evacuated(&mut self, domains: &BTreeSet<Domain>) {
        self.evacuated.clone_from(domains);
        for it in self.upstreams.values_mut() {
            it.is_evacuated = domains.contains(&it.registration.domain);
        }
    }

    /// Removes an upstream.
    pub fn remove(&mut self, id: &str) -> Option<Upstream> {
        self.upstreams.remove(id)
    }

    /// State of an upstream.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// All upstreams, mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.values_mut()
    }

    /// Time after which an upstream that is not in `tried` accepts new requests: zero if one does
    /// now, `None` if none is known that will.
    #[must_use]
    pub fn accepts_after(&self, now: Instant, tried: &[UpstreamId]) -> Option<Duration> {
        self.accepts_after_within(now, tried, &Domains::All)
    }

    /// As [`Self::accepts_after`], for an upstream in `domains`.
    #[must_use]
    pub fn accepts_after_within(
        &self,
        now: Instant,
        tried: &[UpstreamId],
        domains: &Domains,
    ) -> Option<Duration> {
        let untried = self.upstreams.values().filter(|it| {
            !tried.contains(&it.registration.id) && domains.contains(&it.registration.domain)
        });
        untried.filter_map(|it| it.accepts_after(now)).min()
    }

    /// Sets what an upstream has said about taking requests.
    pub fn set_withdrawal(&mut self, id: &str, withdrawal: Withdrawal) {
        if let Some(it) = self.upstreams.get_mut(id) {
            it.withdrawal = withdrawal;
        }
    }

    /// Number of requests that all entry hosts together may have in flight.
    #[must_use]
    pub fn capacity(&self, now: Instant) -> f64 {
        let open = self.upstreams.values().filter(|it| it.accepts_requests(now));
        let slowdown = self.slowdown();
        let limit_of = |it: &Upstream| {
            let limit = it.limit(&self.settings, slowdown);
            if self.slow_start.is_limited() && it.temperature.is_cold(now) {
                limit.min(self.slow_start.warmup_per_s * self.mean_service_time_s())
            } else {
                limit
            }
        };
        open.map(limit_of).sum()
    }

    /// Mean service time of a route's requests on an upstream at normal pace.
    #[must_use]
    pub fn service_time(&self, route: &str) -> Duration {
        self.work(route).mean()
    }

    /// Work of a route's requests on an upstream at normal pace.
    #[must_use]
    pub fn work(&self, route: &str) -> Work {
        self.works.get(route).copied().unwrap_or_else(|| Work::new(INITIAL_SERVICE_TIME))
    }

    /// Chooses the upstream with free capacity that is expected to answer soonest, except those in
    /// `tried`.
    ///
    /// Failing upstreams are chosen only if no other has capacity, and upstreams that are not
    /// assigned to this daemon only if none of the assigned ones is eligible.
    pub fn choose(
        &mut self,
        now: Instant,
        route: &str,
        tried: &[UpstreamId],
        eligibility: Eligibility,
    ) -> Option<UpstreamId> {
        self.choose_within(now, route, tried, &Domains::All, eligibility)
    }

    /// As [`Self::choose`], among the upstreams in `domains`.
    pub fn choose_within(
        &mut self,
        now: Instant,
        route: &str,
        tried: &[UpstreamId],
        domains: &Domains,
        eligibility: Eligibility,
    ) -> Option<UpstreamId> {
        let is_inside = |it: &Upstream| domains.contains(&it.registration.domain);
        let is_assigned = |it: &Upstream| it.is_assigned && is_inside(it);
        let is_other = |it: &Upstream| !it.is_assigned && is_inside(it);
        let assigned = self.choose_among(now, route, tried, eligibility, is_assigned);
        assigned.or_else(|| self.choose_among(now, route, tried, eligibility, is_other))
    }

    fn choose_among(
        &mut self,
        now: Instant,
        route: &str,
        tried: &[UpstreamId],
        eligibility: Eligibility,
        is_candidate: impl Fn(&Upstream) -> bool,
    ) -> Option<UpstreamId> {
        let service_time = self.service_time(route);
        let settings = &self.settings;
        let slowdown = self.slowdown();
        let mostly_degraded =
            eligibility == Eligibility::NormalOrIdle && self.is_mostly_degraded(now);
        let is_eligible = |it: &Upstream| match eligibility {
            Eligibility::Any => true,
            _ if it.temperature.needs_trial(now) && it.total_in_flight(now, settings) < 0.5 => true,
            Eligibility::NormalOrIdle => {
                let is_likely_normal =
                    it.expected_pace(now, settings, self.mean_pace, service_time)
                        < settings.degraded_pace;
                is_likely_normal || mostly_degraded && it.total_in_flight(now, settings) < 0.5
            }
            Eligibility::Normal => self.is_normal(now, it),
        };
        let is_usable = |it: &&Upstream| {
            is_candidate(it)
                && !tried.contains(&it.registration.id)
                && it.has_capacity(now, settings, slowdown)
                && is_eligible(it)
        };
        let cost_of = |it: &Upstream| {
            let penalty = if it.is_failing(now, settings) { FAILING_COST } else { 0.0 };
            it.cost(now, settings, self.mean_pace, service_time, &self.domain) + penalty
        };
        let costs: Vec<_> =
            self.upstreams.values().filter(is_usable).map(|it| (cost_of(it), it)).collect();
        let best = costs.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp)?;
        let cheapest: Vec<_> =
            costs.iter().filter(|(cost, _)| *cost <= best * TIE_FACTOR).collect();
        let (_, chosen) = cheapest[self.rng.usize(..cheapest.len())];
        Some(chosen.registration.id.clone())
    }

    /// Up to `count` upstreams with free capacity whose condition is unknown.
    pub fn probe_candidates(
        &mut self,
        now: Instant,
        tried: &[UpstreamId],
        count: usize,
    ) -> Vec<UpstreamId> {
        self.probe_candidates_within(now, tried, &Domains::All, count)
    }

    /// As [`Self::probe_candidates`], among the upstreams in `domains`.
    pub fn probe_candidates_within(
        &mut self,
        now: Instant,
        tried: &[UpstreamId],
        domains: &Domains,
        count: usize,
    ) -> Vec<UpstreamId> {
        let settings = &self.settings;
        let slowdown = self.slowdown();
        let lifetime = self.report_lifetime();
        let is_unknown = |it: &&Upstream| {
            !tried.contains(&it.registration.id)
                && domains.contains(&it.registration.domain)
                && it.has_free_slot(now, settings, slowdown)
                // Its answer is of use although no request may be sent: it says whether it is cold.
                && (it.temperature.allows(now) || !it.temperature.is_known())
                && !it.is_failing(now, settings)
                && it.condition(now, settings, lifetime) == Condition::Unknown
        };
        let mut res: Vec<_> = self
            .upstreams
            .values()
            .filter(is_unknown)
            .map(|it| {
                let is_remote = it.registration.domain != self.domain;
                let total = it.total_in_flight(now, settings)
                    + f64::from(u8::from(is_remote)) * REMOTE_DOMAIN_REQUESTS;
                ((!it.is_assigned, total), &it.registration.id)
            })
            .collect();
        self.rng.shuffle(&mut res);
        res.sort_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        res.into_iter().take(count).map(|(_, id)| id.clone()).collect()
    }

    /// Records that an answer carried no load report.
    pub fn record_missing_report(&mut self) {
        self.missing_reports = self.missing_reports.saturating_add(1);
    }

    /// Whether the service's reports may show a pace other than normal, judging from the reports so
    /// far.
    #[must_use]
    pub fn reports_pace(&self) -> bool {
        self.normal_reports < MAX_NORMAL_REPORTS && self.missing_reports < MAX_MISSING_REPORTS
    }

    /// Records the duration of a probe.
    pub fn record_probe(&mut self, took: Duration) {
        let mean = self.mean_probe_time.unwrap_or(took);
        self.mean_probe_time =
            Some(mean.mul_f64(1.0 - SAMPLE_WEIGHT) + took.mul_f64(SAMPLE_WEIGHT));
    }

    /// Maximum age of a report that counts as current.
    #[must_use]
    pub fn report_lifetime(&self) -> Duration {
        let Settings {
            min_report_lifetime: min,
            max_report_lifetime: max,
            report_lifetime_probes,
            ..
        } = self.settings;
        self.mean_probe_time.map_or(max, |it| it.mul_f64(report_lifetime_probes).clamp(min, max))
    }

    /// Whether upstreams were observed to slow down when nearly full.
    #[must_use]
    pub fn slows_when_full(&self) -> bool {
        self.full_slowdown >= MIN_FULL_SLOWDOWN
    }

    /// Slowdown of nearly full upstreams; 1 unless they count as slow when nearly full.
    fn slowdown(&self) -> f64 {
        if self.slows_when_full() { self.full_slowdown } else { 1.0 }
    }

    /// Whether too few upstreams have normal pace for requests to wait for one.
    fn is_mostly_degraded(&self, now: Instant) -> bool {
        let open = || self.upstreams.values().filter(|it| it.accepts_requests(now));
        let may_be_normal = |it: &&Upstream| {
            it.reported_pace().is_none_or(|pace| pace < self.settings.degraded_pace)
                || it.report_age(now).is_none_or(|age| age > self.settings.pace_decay)
        };
        open().filter(may_be_normal).count() * MIN_NORMAL_DIVISOR < open().count()
    }

    /// If the service does not report its pace, every upstream counts as normal.
    fn is_normal(&self, now: Instant, it: &Upstream) -> bool {
        !self.reports_pace()
            || it.condition(now, &self.settings, self.report_lifetime()) == Condition::Normal
    }

    /// Records that a request is sent to an upstream; returns its serial for [`Self::finish`].
    pub fn start(&mut self, now: Instant, id: &str) -> u64 {
        self.serial += 1;
        let lifetime = self.report_lifetime();
        if let Some(it) = self.upstreams.get_mut(id) {
            it.start(now, &self.settings, lifetime, self.serial);
        }
        self.serial
    }

    /// Records the outcome of a request.
    pub fn finish(&mut self, now: Instant, id: &str, serial: u64, outcome: Outcome) {
        if let Some(it) = self.upstreams.get_mut(id) {
            it.finish(now, &self.settings, serial, outcome);
        }
    }

    /// Records the time that an upstream took for a complete answer to a request of a route. Must
    /// be called before [`Self::finish`] for the same request.
    pub fn record_answer(&mut self, id: &str, serial: u64, route: &RouteId, took: Duration) {
        let Some(upstream) = self.upstreams.get(id) else { return };
        let Some(request) = upstream.in_flight_request(serial) else { return };
        let is_pace_unknown = request.pace.is_none() && upstream.reported_pace().is_some();
        if request.is_nearly_full && is_pace_unknown {
            // Its time may say more about its pace than about its being full.
            return;
        }
        let pace = request.pace.unwrap_or(self.mean_pace).max(1.0);
        let sample = took.as_secs_f64() / pace;
        if request.is_nearly_full {
            let usual = self.service_time(route).as_secs_f64().max(1e-3);
            let is_slower = sample / usual > self.full_slowdown;
            let step = if is_slower { FULL_SLOWDOWN_STEP } else { -FULL_SLOWDOWN_STEP };
            self.full_slowdown = (self.full_slowdown + step).clamp(1.0, MAX_FULL_SLOWDOWN);
            return;
        }
        let first = || Work::new(Duration::from_secs_f64(sample));
        self.works.entry(route.clone()).or_insert_with(first).record(sample);
    }

    /// Decays the observed slowdown over `elapsed`, so that a service that slowed down when nearly
    /// full is eventually filled again.
    pub fn decay(&mut self, elapsed: Duration) {
        let share = (elapsed.as_secs_f64() / FULL_SLOWDOWN_DECAY.as_secs_f64()).min(1.0);
        self.full_slowdown += (1.0 - self.full_slowdown) * share;
    }

    /// Records a report that an upstream sent to this host at `at`.
    pub fn record_report(&mut self, at: Instant, id: &str, report: Report) {
        self.add_report(at, id, report, true);
    }

    /// Records a report that an upstream sent to a peer at `at`.
    pub fn record_peer_report(&mut self, at: Instant, id: &str, report: Report) {
        self.add_report(at, id, report, false);
    }

    fn add_report(&mut self, at: Instant, id: &str, report: Report, is_direct: bool) {
        let Some(it) = self.upstreams.get_mut(id) else { return };
        it.record_report(at, report, is_direct);
        let pace = f64::from(report.pace_percent) / 100.0;
        let is_normal = report.pace_percent <= MAX_NORMAL_PACE_PERCENT;
        self.normal_reports = if is_normal { self.normal_reports.saturating_add(1) } else { 0 };
        self.missing_reports = 0;
        self.mean_pace += (pace - self.mean_pace) * SAMPLE_WEIGHT;
    }

    /// Records a peer's number of requests in flight at an upstream.
    pub fn record_peer_load(&mut self, now: Instant, host: HostKey, id: &str, in_flight: u32) {
        if let Some(it) = self.upstreams.get_mut(id) {
            it.record_peer_load(now, host, in_flight);
        }
    }

    /// Drops the loads that a peer reported.
    pub fn remove_peer(&mut self, host: HostKey) {
        self.upstreams.values_mut().for_each(|it| it.remove_peer(host));
    }
}

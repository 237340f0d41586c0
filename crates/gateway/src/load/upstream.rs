//! State of one upstream as known to one entry host.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{HostKey, Outcome, Report, Settings, Temperature};
use crate::registry::{Registration, State, Withdrawal};

/// Weight of an attempt in an upstream's mean failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Mean failure rate from which an upstream is used only when no other has capacity.
const FAILING_THRESHOLD: f64 = 0.4;
/// Added to the cost factor of an upstream whose requests all fail.
const FAILURE_COST: f64 = 8.0;
/// Cost factor of an upstream that has just started and still works more slowly.
const COLD_COST: f64 = 2.0;
/// Time after which this host tries an upstream that it has not yet sent a request.
const TRIAL_DELAY: Duration = Duration::from_secs(3);
/// Cost factor of an upstream to be tried.
const TRIAL_COST: f64 = 0.5;
/// Cost factor of a cold upstream to be tried. Together with [`COLD_COST`] below 1, so that it is
/// chosen before idle warm ones.
const COLD_TRIAL_COST: f64 = 0.25;
/// Cost of a full upstream beyond that of an empty one, as a share of a request's service time.
const OCCUPANCY_COST: f64 = 0.3;

#[derive(Clone, Copy, Debug)]
struct LastReport {
    report: Report,
    at: Instant,
    own_in_flight: u32,
    /// Whether the upstream sent the report to this host rather than to a peer.
    is_direct: bool,
}

/// A request of this host in flight.
#[derive(Clone, Copy, Debug)]
pub struct InFlight {
    /// Number by which its outcome is recorded.
    pub serial: u64,
    /// When it was sent.
    pub at: Instant,
    /// Whether the requests in flight had reached the soft limit when it was sent.
    pub is_nearly_full: bool,
    /// Pace reported within the report lifetime, if any.
    pub pace: Option<f64>,
}

/// Condition of an upstream according to its last report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// Processes requests at its usual pace.
    Normal,
    /// Processes requests more slowly than usual.
    Degraded,
    /// No report, or the last one is too old.
    Unknown,
}

/// State of one upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Its registration.
    pub registration: Registration,
    /// Whether the upstream is assigned to this daemon, which then prefers it over others.
    pub is_assigned: bool,
    /// What it has said in its answers about taking requests.
    pub withdrawal: Withdrawal,
    /// Whether its failure domain is evacuated.
    pub is_evacuated: bool,
    /// Whether it is cold, and how many requests this daemon may send it then.
    pub temperature: Temperature,
    added_at: Instant,
    has_been_used: bool,
    in_flight: Vec<InFlight>,
    peers: HashMap<HostKey, (u32, Instant)>,
    last_report: Option<LastReport>,
    failure_rate: f64,
    last_outcome_at: Option<Instant>,
}

impl Upstream {
    /// Creates the state of an upstream without any observations.
    #[must_use]
    pub fn new(now: Instant, registration: Registration) -> Self {
        let temperature = Temperature::new(now, registration.cold_for);
        Self {
            registration,
            is_assigned: true,
            withdrawal: Withdrawal::default(),
            is_evacuated: false,
            temperature,
            added_at: now,
            has_been_used: false,
            in_flight: Vec::new(),
            peers: HashMap::new(),
            last_report: None,
            failure_rate: 0.0,
            last_outcome_at: None,
        }
    }

    /// Whether it accepts new requests.
    #[must_use]
    pub fn accepts_requests(&self, now: Instant) -> bool {
        self.registration.state == State::Ready
            && !self.is_evacuated
            && !self.withdrawal.is_in_force(now)
    }

    /// Time after which it accepts new requests again, if it does not leave and its failure domain is
    /// not evacuated.
    #[must_use]
    pub fn accepts_after(&self, now: Instant) -> Option<Duration> {
        let is_ready = self.registration.state == State::Ready;
        if !is_ready || self.is_evacuated || self.withdrawal.is_leaving {
            return None;
        }
        let until = self.withdrawal.paused_until.unwrap_or(now);
        Some(until.saturating_duration_since(now))
    }

    /// Requests of this host in flight.
    #[must_use]
    pub fn own_in_flight(&self) -> u32 {
        u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    /// Records that a request is sent.
    pub fn start(&mut self, now: Instant, settings: &Settings, lifetime: Duration, serial: u64) {
        let is_nearly_full = self.total_in_flight(now, settings) + 0.5 >= self.soft_limit(settings);
        let is_fresh = self.report_age(now).is_some_and(|it| it <= lifetime);
        let pace = self.reported_pace().filter(|_| is_fresh);
        self.has_been_used = true;
        self.temperature.start(now);
        self.in_flight.push(InFlight { serial, at: now, is_nearly_full, pace });
    }

    /// The request in flight with `serial`.
    #[must_use]
    pub fn in_flight_request(&self, serial: u64) -> Option<InFlight> {
        self.in_flight.iter().find(|it| it.serial == serial).copied()
    }

    /// Records the outcome of a request.
    pub fn finish(&mut self, now: Instant, settings: &Settings, serial: u64, outcome: Outcome) {
        self.in_flight.retain(|it| it.serial != serial);
        let failed = match outcome {
            Outcome::Success => 0.0,
            Outcome::Failure => 1.0,
            Outcome::Refused => 0.7,
            Outcome::Cancelled => return,
        };
        self.failure_rate = self.failure_mean(now, settings);
        self.failure_rate += (failed - self.failure_rate) * FAILURE_WEIGHT;
        self.last_outcome_at = Some(now);
    }

    /// Records a report made at `at`.
    pub fn record_report(&mut self, at: Instant, report: Report, is_direct: bool) {
        if self.last_report.is_none_or(|it| it.at <= at) {
            self.last_report =
                Some(LastReport { report, at, own_in_flight: self.own_in_flight(), is_direct });
        }
    }

    /// The last report and its age, if the upstream sent it to this host less than `lifetime` ago.
    #[must_use]
    pub fn report_to_share(&self, now: Instant, lifetime: Duration) -> Option<(Report, Duration)> {
        let last_report = self.last_report.filter(|it| it.is_direct)?;
        let age = now.saturating_duration_since(last_report.at);
        (age < lifetime).then_some((last_report.report, age))
    }

    /// Records a peer's number of requests in flight.
    pub fn record_peer_load(&mut self, now: Instant, host: HostKey, in_flight: u32) {
        if in_flight == 0 {
            self.peers.remove(&host);
        } else {
            self.peers.insert(host, (in_flight, now));
        }
    }

    /// Drops the load that a peer reported.
    pub fn remove_peer(&mut self, host: HostKey) {
        self.peers.remove(&host);
    }

    /// Requests in flight from all entry hosts.
    #[must_use]
    pub fn total_in_flight(&self, now: Instant, settings: &Settings) -> f64 {
        let is_fresh =
            |it: &&(u32, Instant)| now.duration_since(it.1) < settings.peer_load_lifetime;
        let peer_reported: u32 = self.peers.values().filter(is_fresh).map(|it| it.0).sum();
        let reported = self.last_report.map_or(0.0, |it| {
            let others = it.report.total().saturating_sub(it.own_in_flight);
            f64::from(others) * decay_weight(now, it.at, settings.pace_decay)
        });
        f64::from(self.own_in_flight()) + f64::from(peer_reported).max(reported)
    }

    /// Number of requests up to which an upstream works at its usual pace, in services that slow
    /// down when nearly full.
    #[must_use]
    pub fn soft_limit(&self, settings: &Settings) -> f64 {
        (f64::from(self.registration.slots) * settings.slot_share).floor().max(1.0)
    }

    /// Number of requests that all entry hosts together may have in flight; `slowdown` is the factor
    /// by which upstreams of the service slow down when nearly full.
    #[must_use]
    pub fn limit(&self, settings: &Settings, slowdown: f64) -> f64 {
        let (soft_limit, slots) =
            (self.soft_limit(settings), f64::from(self.registration.slots.max(1)));
        // With few slots, the soft limit may cost more requests than the slowdown does.
        let is_worthwhile = soft_limit * slowdown * settings.slowdown_weight >= slots;
        if slowdown > 1.0 && is_worthwhile { soft_limit } else { slots }
    }

    /// Whether it may get another request.
    #[must_use]
    pub fn has_capacity(&self, now: Instant, settings: &Settings, slowdown: f64) -> bool {
        self.has_free_slot(now, settings, slowdown) && self.temperature.allows(now)
    }

    /// Whether it may get another request if its slow start is left out of account.
    #[must_use]
    pub fn has_free_slot(&self, now: Instant, settings: &Settings, slowdown: f64) -> bool {
        self.accepts_requests(now)
            && self.total_in_flight(now, settings) + 0.5 < self.limit(settings, slowdown)
    }

    /// Condition according to the last report; unknown if that is older than `lifetime`.
    #[must_use]
    pub fn condition(&self, now: Instant, settings: &Settings, lifetime: Duration) -> Condition {
        let is_fresh = self.report_age(now).is_some_and(|it| it <= lifetime);
        match self.reported_pace().filter(|_| is_fresh) {
            Some(it) if it < settings.degraded_pace => Condition::Normal,
            Some(_) => Condition::Degraded,
            None => Condition::Unknown,
        }
    }

    /// Whether it fails so often that any other upstream with capacity is better.
    #[must_use]
    pub fn is_failing(&self, now: Instant, settings: &Settings) -> bool {
        self.failure_mean(now, settings) >= FAILING_THRESHOLD
    }

    /// Age of the last report, if any.
    #[must_use]
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.last_report.map(|it| now.saturating_duration_since(it.at))
    }

    /// Pace in the last report, as a factor of the usual time.
    #[must_use]
    pub fn reported_pace(&self) -> Option<f64> {
        self.last_report.map(|it| f64::from(it.report.pace_percent) / 100.0)
    }

    /// Expected processing time now, as a factor of the usual time. `mean` is the pace to assume
    /// without a recent report.
    #[must_use]
    pub fn expected_pace(
        &self,
        now: Instant,
        settings: &Settings,
        mean: f64,
        service_time: Duration,
    ) -> f64 {
        let known = self.last_report.map_or(mean, |it| {
            let reported = f64::from(it.report.pace_percent) / 100.0;
            mean + (reported - mean) * decay_weight(now, it.at, settings.pace_decay)
        });
        let oldest = self.in_flight.iter().map(|it| now.saturating_duration_since(it.at)).max();
        // The age of the oldest request in flight is a lower bound on the current processing time.
        let overdue =
            oldest.unwrap_or_default().as_secs_f64() / service_time.as_secs_f64().max(1e-3) / 2.0;
        known.max(overdue)
    }

    /// Expected time for a request sent now, as a factor of the usual time; the lowest is best.
    #[must_use]
    pub fn cost(
        &self,
        now: Instant,
        settings: &Settings,
        mean: f64,
        service_time: Duration,
        own_domain: &str,
    ) -> f64 {
        let total = self.total_in_flight(now, settings);
        let occupancy = 1.0 + OCCUPANCY_COST * total / f64::from(self.registration.slots.max(1));
        let cold = if self.temperature.is_cold(now) { COLD_COST } else { 1.0 };
        let failures = 1.0 + FAILURE_COST * self.failure_mean(now, settings);
        let remote =
            if &*self.registration.domain == own_domain { 0.0 } else { settings.domain_cost };
        let needs_trial =
            !self.has_been_used && now.saturating_duration_since(self.added_at) > TRIAL_DELAY;
        let trial = if self.temperature.needs_trial(now) {
            COLD_TRIAL_COST
        } else if needs_trial {
            TRIAL_COST
        } else {
            1.0
        };
        self.expected_pace(now, settings, mean, service_time) * occupancy * cold * failures * trial
            + remote
    }

    fn failure_mean(&self, now: Instant, settings: &Settings) -> f64 {
        self.last_outcome_at
            .map_or(0.0, |it| self.failure_rate * decay_weight(now, it, settings.failure_decay))
    }
}

/// Weight of an observation made at `at`: 1 when new, 0 after `decay`.
fn decay_weight(now: Instant, at: Instant, decay: Duration) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    (1.0 - age / decay.as_secs_f64()).max(0.0)
}

//! What one entry host knows of one upstream.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{HostKey, Outcome, Report, Settings};
use crate::registry::{Registration, State};

/// Share of an attempt in the mean of an upstream's failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// Mean of failures from which an upstream is used only when no other has room.
const FAILING: f64 = 0.4;
/// Factor by which an upstream that fails all its requests seems slower.
const FAILURE_COST: f64 = 8.0;
/// Factor by which an upstream works more slowly just after its start.
const COLD_COST: f64 = 2.0;
/// Time after which an upstream that has had no request of this host is tried.
const TRIAL_TIME: Duration = Duration::from_secs(3);
/// Factor of the cost of an upstream that is to be tried.
const TRIAL_COST: f64 = 0.5;
/// Cost of filled slots below the limit, as a share of a request's work.
const CROWD_COST: f64 = 0.3;

#[derive(Clone, Copy, Debug)]
struct Seen {
    report: Report,
    at: Instant,
    own: u32,
    /// Whether the report came to this host and not by way of a peer.
    is_own: bool,
}

/// A request of this host that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    /// Number by which its end is told.
    pub serial: u64,
    /// When it was sent.
    pub at: Instant,
    /// Whether the upstream was filled beyond its share of slots.
    pub is_crowded: bool,
    /// The pace that was reported shortly before; none if it wasn't known.
    pub pace: Option<f64>,
}

/// How an upstream stands, by what was reported last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Works at its usual pace.
    Undisturbed,
    /// Works more slowly than usual.
    Disturbed,
    /// The newest report is too old to tell.
    Unknown,
}

/// What is known of one upstream.
#[derive(Debug)]
pub struct Upstream {
    /// What it says of itself.
    pub registration: Registration,
    /// Whether this host looks after it and uses it before others.
    pub is_preferred: bool,
    joined: Instant,
    was_used: bool,
    cold_until: Instant,
    flights: Vec<Flight>,
    peers: HashMap<HostKey, (u32, Instant)>,
    seen: Option<Seen>,
    failures: f64,
    failed_at: Option<Instant>,
}

impl Upstream {
    /// An upstream that nothing is known of but its registration.
    #[must_use]
    pub fn new(now: Instant, registration: Registration) -> Self {
        let cold_until = now + registration.cold_for;
        Self {
            registration,
            is_preferred: true,
            joined: now,
            was_used: false,
            cold_until,
            flights: Vec::new(),
            peers: HashMap::new(),
            seen: None,
            failures: 0.0,
            failed_at: None,
        }
    }

    /// Whether it takes new work.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.registration.state == State::Ready
    }

    /// Own requests in flight.
    #[must_use]
    pub fn own(&self) -> u32 {
        u32::try_from(self.flights.len()).unwrap_or(u32::MAX)
    }

    /// Counts a request that is sent now.
    pub fn start(&mut self, now: Instant, settings: &Settings, life: Duration, serial: u64) {
        let is_crowded = self.total(now, settings) + 0.5 >= self.shared_limit(settings);
        let is_fresh = self.report_age(now).is_some_and(|it| it <= life);
        let pace = self.reported_pace().filter(|_| is_fresh);
        self.was_used = true;
        self.flights.push(Flight { serial, at: now, is_crowded, pace });
    }

    /// The request that is told by `serial`.
    #[must_use]
    pub fn flight(&self, serial: u64) -> Option<Flight> {
        self.flights.iter().find(|it| it.serial == serial).copied()
    }

    /// Takes in how a request ended.
    pub fn finish(&mut self, now: Instant, settings: &Settings, serial: u64, outcome: Outcome) {
        self.flights.retain(|it| it.serial != serial);
        let failed = match outcome {
            Outcome::Success => 0.0,
            Outcome::Failure => 1.0,
            Outcome::Refused => 0.7,
            Outcome::Cancelled => return,
        };
        self.failures = self.failure_mean(now, settings);
        self.failures += (failed - self.failures) * FAILURE_WEIGHT;
        self.failed_at = Some(now);
    }

    /// Takes in a report that was made at `at`.
    pub fn report(&mut self, at: Instant, report: Report, is_own: bool) {
        if self.seen.is_none_or(|it| it.at <= at) {
            self.seen = Some(Seen { report, at, own: self.own(), is_own });
        }
    }

    /// The newest report and its age, if it came to this host within `life`.
    #[must_use]
    pub fn report_to_tell(&self, now: Instant, life: Duration) -> Option<(Report, Duration)> {
        let seen = self.seen.filter(|it| it.is_own)?;
        let age = now.saturating_duration_since(seen.at);
        (age < life).then_some((seen.report, age))
    }

    /// Takes in how many requests a peer has in flight.
    pub fn peer_load(&mut self, now: Instant, host: HostKey, in_flight: u32) {
        if in_flight == 0 {
            self.peers.remove(&host);
        } else {
            self.peers.insert(host, (in_flight, now));
        }
    }

    /// Forgets what a peer said.
    pub fn forget_peer(&mut self, host: HostKey) {
        self.peers.remove(&host);
    }

    /// Requests that it holds, of all entry hosts.
    #[must_use]
    pub fn total(&self, now: Instant, settings: &Settings) -> f64 {
        let fresh = |it: &&(u32, Instant)| now.duration_since(it.1) < settings.peer_memory;
        let told: u32 = self.peers.values().filter(fresh).map(|it| it.0).sum();
        let seen = self.seen.map_or(0.0, |it| {
            let others = it.report.total().saturating_sub(it.own);
            f64::from(others) * fade(now, it.at, settings.pace_memory)
        });
        f64::from(self.own()) + f64::from(told).max(seen)
    }

    /// Requests up to which an upstream works at its usual pace, wherever it slows down when it is
    /// nearly full.
    #[must_use]
    pub fn shared_limit(&self, settings: &Settings) -> f64 {
        (f64::from(self.registration.slots) * settings.slot_share).floor().max(1.0)
    }

    /// Requests that all entry hosts together may have in flight there; `slows` if upstreams of the
    /// service slow down when they are nearly full.
    #[must_use]
    pub fn limit(&self, settings: &Settings, slows: bool) -> f64 {
        if slows { self.shared_limit(settings) } else { f64::from(self.registration.slots.max(1)) }
    }

    /// Whether it may get another request.
    #[must_use]
    pub fn has_room(&self, now: Instant, settings: &Settings, slows: bool) -> bool {
        self.is_open() && self.total(now, settings) + 0.5 < self.limit(settings, slows)
    }

    /// How it stands, by its newest report; one older than `life` doesn't tell.
    #[must_use]
    pub fn standing(&self, now: Instant, settings: &Settings, life: Duration) -> Standing {
        let is_fresh = self.report_age(now).is_some_and(|it| it <= life);
        match self.reported_pace().filter(|_| is_fresh) {
            Some(it) if it < settings.disturbed_pace => Standing::Undisturbed,
            Some(_) => Standing::Disturbed,
            None => Standing::Unknown,
        }
    }

    /// Whether it fails so often that any other with room is better.
    #[must_use]
    pub fn is_failing(&self, now: Instant, settings: &Settings) -> bool {
        self.failure_mean(now, settings) >= FAILING
    }

    /// Age of the newest report; none if there is none.
    #[must_use]
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.seen.map(|it| now.saturating_duration_since(it.at))
    }

    /// The pace reported last, as a factor of the usual time.
    #[must_use]
    pub fn reported_pace(&self) -> Option<f64> {
        self.seen.map(|it| f64::from(it.report.pace_percent) / 100.0)
    }

    /// Factor of the usual time that work takes there now; `mean` stands in for what isn't known.
    #[must_use]
    pub fn pace(&self, now: Instant, settings: &Settings, mean: f64, work: Duration) -> f64 {
        let known = self.seen.map_or(mean, |it| {
            let reported = f64::from(it.report.pace_percent) / 100.0;
            mean + (reported - mean) * fade(now, it.at, settings.pace_memory)
        });
        let oldest = self.flights.iter().map(|it| now.saturating_duration_since(it.at)).max();
        // A request that has been in flight for long shows that work takes at least so long.
        let overdue = oldest.unwrap_or_default().as_secs_f64() / work.as_secs_f64().max(1e-3) / 2.0;
        known.max(overdue)
    }

    /// Expected time of a request that is sent now, as a factor of the usual time; lowest is best.
    #[must_use]
    pub fn cost(
        &self,
        now: Instant,
        settings: &Settings,
        mean: f64,
        work: Duration,
        home: &str,
    ) -> f64 {
        let total = self.total(now, settings);
        let crowd = 1.0 + CROWD_COST * total / f64::from(self.registration.slots.max(1));
        let cold = if now < self.cold_until { COLD_COST } else { 1.0 };
        let failures = 1.0 + FAILURE_COST * self.failure_mean(now, settings);
        let away = if &*self.registration.domain == home { 0.0 } else { settings.domain_cost };
        let is_due = !self.was_used && now.saturating_duration_since(self.joined) > TRIAL_TIME;
        let trial = if is_due { TRIAL_COST } else { 1.0 };
        self.pace(now, settings, mean, work) * crowd * cold * failures * trial + away
    }

    fn failure_mean(&self, now: Instant, settings: &Settings) -> f64 {
        self.failed_at.map_or(0.0, |it| self.failures * fade(now, it, settings.failure_memory))
    }
}

/// Weight of knowledge that was gained at `at`: 1 when new, 0 after `memory`.
fn fade(now: Instant, at: Instant, memory: Duration) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    (1.0 - age / memory.as_secs_f64()).max(0.0)
}

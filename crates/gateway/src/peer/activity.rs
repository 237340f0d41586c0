//! How busy this daemon is.

use std::time::{Duration, Instant};

/// Time over which the use is taken.
const PERIOD: Duration = Duration::from_secs(1);
/// Requests a second from which a daemon counts as one that callers use. Single requests that only
/// check a daemon stay below.
const ACTIVE_RATE: f64 = 5.0;
/// Processor time of a request with its probes and datagrams, from docs/MEASUREMENTS.md. It stands in
/// for the process's own clock, which not every host keeps apart from time itself.
const REQUEST_CPU: Duration = Duration::from_micros(750);
/// Quiet periods after which it no longer counts as such.
const QUIET_PERIODS: u32 = 4;

/// How busy this daemon is.
#[derive(Debug)]
pub struct Activity {
    since: Instant,
    requests: u64,
    quiet: u32,
    used_cores: f64,
    active_since: Option<Instant>,
}

impl Activity {
    /// A daemon that has done nothing yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { since: now, requests: 0, quiet: 0, used_cores: 0.0, active_since: None }
    }

    /// Takes in the requests taken since the start; true if the daemon has become active or quiet.
    pub fn note(&mut self, now: Instant, requests: u64) -> bool {
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed < PERIOD {
            return false;
        }
        let rate = requests.saturating_sub(self.requests) as f64 / elapsed.as_secs_f64();
        self.used_cores = rate * REQUEST_CPU.as_secs_f64();
        (self.since, self.requests) = (now, requests);
        self.quiet = if rate < ACTIVE_RATE { self.quiet + 1 } else { 0 };
        let was_active = self.is_active();
        let is_active = self.quiet == 0 || was_active && self.quiet < QUIET_PERIODS;
        self.active_since = is_active.then(|| self.active_since.unwrap_or(now));
        is_active != was_active
    }

    /// Processor in use by the requests taken, in cores.
    #[must_use]
    pub fn used_cores(&self) -> f64 {
        self.used_cores
    }

    /// Whether callers send more than single requests.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.active_since.is_some()
    }

    /// Whether callers have used it for `time` without a break.
    #[must_use]
    pub fn is_active_for(&self, now: Instant, time: Duration) -> bool {
        self.active_since.is_some_and(|it| now.saturating_duration_since(it) >= time)
    }
}

//! Whether callers use this daemon, and how much processor time it needs.

use std::time::{Duration, Instant};

/// Period over which the request rate is measured.
const PERIOD: Duration = Duration::from_secs(1);
/// Requests per second from which a daemon counts as active. Single requests that only check a
/// daemon stay below.
const ACTIVE_RATE: f64 = 5.0;
/// Processor time of a request including its probes and datagrams, from docs/MEASUREMENTS.md. Used
/// instead of the process's CPU clock, which on some hosts does not differ from the wall clock.
const REQUEST_CPU: Duration = Duration::from_micros(750);
/// Consecutive periods below the active rate after which a daemon no longer counts as active.
const IDLE_PERIODS: u32 = 4;

/// Request rate and activity of this daemon.
#[derive(Debug)]
pub struct Activity {
    period_start: Instant,
    requests: u64,
    idle_periods: u32,
    used_cores: f64,
    active_since: Option<Instant>,
}

impl Activity {
    /// Creates the state of a daemon without requests.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            period_start: now,
            requests: 0,
            idle_periods: 0,
            used_cores: 0.0,
            active_since: None,
        }
    }

    /// Updates the rate from `requests`, the number received since the start; returns true if the
    /// daemon has become active or inactive.
    pub fn update(&mut self, now: Instant, requests: u64) -> bool {
        let elapsed = now.saturating_duration_since(self.period_start);
        if elapsed < PERIOD {
            return false;
        }
        let rate = requests.saturating_sub(self.requests) as f64 / elapsed.as_secs_f64();
        self.used_cores = rate * REQUEST_CPU.as_secs_f64();
        (self.period_start, self.requests) = (now, requests);
        self.idle_periods = if rate < ACTIVE_RATE { self.idle_periods + 1 } else { 0 };
        let was_active = self.is_active();
        let is_active = self.idle_periods == 0 || was_active && self.idle_periods < IDLE_PERIODS;
        self.active_since = is_active.then(|| self.active_since.unwrap_or(now));
        is_active != was_active
    }

    /// Processor time used by requests, in cores.
    #[must_use]
    pub fn used_cores(&self) -> f64 {
        self.used_cores
    }

    /// Whether callers send more than single requests.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.active_since.is_some()
    }

    /// Whether the daemon has been active for `time` without interruption.
    #[must_use]
    pub fn is_active_for(&self, now: Instant, time: Duration) -> bool {
        self.active_since.is_some_and(|it| now.saturating_duration_since(it) >= time)
    }
}

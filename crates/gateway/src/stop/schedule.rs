//! Times of a planned stop.

use std::time::{Duration, Instant};

/// Time for which a leaving daemon accepts connections, since callers cache its address for that
/// long.
const PORT_TIME: Duration = Duration::from_millis(3_500);
/// Time before the forced kill by which a leaving daemon has ended.
const END_RESERVE: Duration = Duration::from_millis(400);
/// Time for the last answers to be written before the daemon ends.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);
/// Share of the grace period that a request without a shorter time limit must have left.
const MIN_TIME_SHARE: f64 = 0.5;
/// Multiple of the expected service time that a request must have left.
const SERVICE_TIME_FACTOR: u32 = 2;

/// Schedule of a planned stop, from the signal to the end of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    started: Instant,
    grace: Duration,
}

impl Schedule {
    /// Creates the schedule of a stop that begins at `started`; the process is killed after `grace`.
    #[must_use]
    pub fn new(started: Instant, grace: Duration) -> Self {
        Self { started, grace }
    }

    /// When the callers' port is closed.
    #[must_use]
    pub fn port_closed_at(&self) -> Instant {
        self.last_answers_at().min(self.started + PORT_TIME)
    }

    /// When the requests still in progress are answered by the daemon itself.
    #[must_use]
    pub fn last_answers_at(&self) -> Instant {
        self.started + self.grace.saturating_sub(END_RESERVE + LAST_ANSWERS_TIME)
    }

    /// When the daemon ends at the latest.
    #[must_use]
    pub fn ends_at(&self) -> Instant {
        self.started + self.grace.saturating_sub(END_RESERVE)
    }

    /// Whether a request is accepted: it will be answered before the end whatever happens, as its
    /// time limit `time_left` passes before that, or enough time is left for one that usually takes
    /// `service_time`.
    #[must_use]
    pub fn accepts(&self, now: Instant, time_left: Duration, service_time: Duration) -> bool {
        let needed = self.grace.mul_f64(MIN_TIME_SHARE).max(service_time * SERVICE_TIME_FACTOR);
        self.last_answers_at().saturating_duration_since(now) >= time_left.min(needed)
    }
}

//! Times of a planned stop.

use std::time::{Duration, Instant};

use super::Work;

/// Time for which a leaving daemon accepts connections, since callers cache its address for that
/// long.
const PORT_TIME: Duration = Duration::from_millis(3_500);
/// Time from the signal within which a request may be started that might not end before the stop.
/// The users allow 3 s from the signal to the sending; a busy process notices the signal later.
const OPEN_TIME: Duration = Duration::from_millis(2_900);
/// Longest time before the forced kill by which a leaving daemon has ended, and its share of a short
/// grace period.
const END_RESERVE: Duration = Duration::from_millis(400);
const END_RESERVE_DIVISOR: u32 = 10;
/// Longest time for the last answers to be written before the daemon ends, and its share of a short
/// grace period. With both reserves, the last answers are given in the last sixth of any grace period.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);
const LAST_ANSWERS_DIVISOR: u32 = 20;
/// Share of the grace period that a request must have left if it might not end before the stop.
const MIN_TIME_SHARE: f64 = 0.5;
/// Multiple of the expected service time that it must have left.
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
        let reserve = LAST_ANSWERS_TIME.min(self.grace / LAST_ANSWERS_DIVISOR);
        self.started + self.grace.saturating_sub(self.end_reserve() + reserve)
    }

    /// When the daemon ends at the latest.
    #[must_use]
    pub fn ends_at(&self) -> Instant {
        self.started + self.grace.saturating_sub(self.end_reserve())
    }

    fn end_reserve(&self) -> Duration {
        END_RESERVE.min(self.grace / END_RESERVE_DIVISOR)
    }

    /// Whether an attempt at a request may start at `now`.
    #[must_use]
    pub fn accepts(&self, now: Instant, work: &Work) -> bool {
        self.latest_start(work).is_some_and(|it| now <= it)
    }

    /// Until when an attempt at a request may start; `None` if it never may.
    ///
    /// A request whose time limit passes before the last answers is certain to end in time. Any other
    /// may have an upstream at work on it when the daemon ends, however short such requests usually
    /// are, so it is accepted only early in the stop, and only if it usually ends in time.
    #[must_use]
    pub fn latest_start(&self, work: &Work) -> Option<Instant> {
        let end = self.last_answers_at();
        if work.deadline <= end {
            return Some(work.deadline);
        }
        if work.received > self.started + OPEN_TIME {
            return None;
        }
        let usual = work.service_time * SERVICE_TIME_FACTOR;
        end.checked_sub(usual.max(self.grace.mul_f64(MIN_TIME_SHARE)))
    }
}

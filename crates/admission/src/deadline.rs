//! Deadlines, propagated from hop to hop.

use std::time::{Duration, Instant};

/// Minimum time that a hop reserves for network, parsing and the reply.
const MIN_MARGIN: Duration = Duration::from_millis(1);
/// A hop reserves one part in this many of the remaining time.
const MARGIN_DIVISOR: u32 = 50;

/// The time at which a caller stops waiting.
///
/// Each hop passes on the remaining time less a margin, so that its own reply is still in time. A
/// call chain of six hosts keeps more than nine tenths of a long deadline; a short deadline fails
/// at the first hop that can't meet it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Deadline {
    at: Instant,
}

impl Deadline {
    /// The deadline of a request that arrives at `now`: after the route's `limit`, or after the time
    /// `stated` by the caller if that is shorter.
    #[must_use]
    pub fn new(now: Instant, limit: Duration, stated: Option<Duration>) -> Self {
        Self { at: now + stated.map_or(limit, |it| it.min(limit)) }
    }

    /// Parses a header value, the remaining time in whole milliseconds.
    #[must_use]
    pub fn parse(value: &str) -> Option<Duration> {
        let is_number = !value.is_empty() && value.bytes().all(|it| it.is_ascii_digit());
        is_number.then(|| value.parse().map_or(Duration::MAX, Duration::from_millis))
    }

    /// The time at which the caller stops waiting.
    #[must_use]
    pub fn at(self) -> Instant {
        self.at
    }

    /// Time until the deadline.
    #[must_use]
    pub fn remaining(self, now: Instant) -> Duration {
        self.at.saturating_duration_since(now)
    }

    /// Remaining time to state to the next hop, in whole milliseconds; `None` if nothing remains.
    #[must_use]
    pub fn next_hop(self, now: Instant) -> Option<Duration> {
        let remaining = self.remaining(now);
        let margin = MIN_MARGIN.max(remaining / MARGIN_DIVISOR);
        let left = remaining.checked_sub(margin)?;
        let whole = Duration::from_millis(u64::try_from(left.as_millis()).ok()?);
        (!whole.is_zero()).then_some(whole)
    }
}

//! The moment at which a caller gives up, passed on from hop to hop.

use std::time::{Duration, Instant};

/// Least time that a hop keeps for itself: network, parsing and the reply.
const MIN_MARGIN: Duration = Duration::from_millis(1);
/// A hop keeps one part in this many of the time that is left.
const MARGIN_DIVISOR: u32 = 50;

/// The moment at which a caller gives up.
///
/// Each hop passes on what is left less a margin, so that its own reply is still in time: a call
/// six deep keeps more than nine tenths of a long deadline, and short ones fail at the first hop
/// that can't meet them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Deadline {
    at: Instant,
}

impl Deadline {
    /// The deadline of a request: the route's limit, or less if the caller states less.
    #[must_use]
    pub fn new(now: Instant, limit: Duration, stated: Option<Duration>) -> Self {
        Self { at: now + stated.map_or(limit, |it| it.min(limit)) }
    }

    /// Reads a header value: whole milliseconds left.
    #[must_use]
    pub fn parse(value: &str) -> Option<Duration> {
        let is_number = !value.is_empty() && value.bytes().all(|it| it.is_ascii_digit());
        is_number.then(|| value.parse().map_or(Duration::MAX, Duration::from_millis))
    }

    /// When the caller gives up.
    #[must_use]
    pub fn at(self) -> Instant {
        self.at
    }

    /// Time until the caller gives up.
    #[must_use]
    pub fn remaining(self, now: Instant) -> Duration {
        self.at.saturating_duration_since(now)
    }

    /// Time to state to the next hop, in whole milliseconds; `None` if nothing is left for it.
    #[must_use]
    pub fn next_hop(self, now: Instant) -> Option<Duration> {
        let remaining = self.remaining(now);
        let margin = MIN_MARGIN.max(remaining / MARGIN_DIVISOR);
        let left = remaining.checked_sub(margin)?;
        let whole = Duration::from_millis(u64::try_from(left.as_millis()).ok()?);
        (!whole.is_zero()).then_some(whole)
    }
}

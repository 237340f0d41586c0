//! Rate limit of the log lines about requests.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Period over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Limits the log lines about requests and counts the omitted ones.
///
/// Lines are counted by kind, so that many requests with one kind of result do not suppress lines
/// about another kind.
#[derive(Debug)]
pub struct Limiter {
    period_start: Instant,
    lines: HashMap<&'static str, u32>,
    omitted: u64,
}

impl Limiter {
    /// Creates a limiter without counted lines.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { period_start: now, lines: HashMap::new(), omitted: 0 }
    }

    /// Whether a line of a kind may be written; `limit` is in lines per second.
    pub fn allows(&mut self, now: Instant, kind: &'static str, limit: u32) -> bool {
        if now.saturating_duration_since(self.period_start) >= PERIOD {
            self.period_start = now;
            self.lines.clear();
        }
        let count = self.lines.entry(kind).or_default();
        if *count >= limit {
            self.omitted += 1;
            return false;
        }
        *count += 1;
        true
    }

    /// Number of lines omitted since the last call.
    pub fn take_omitted(&mut self) -> u64 {
        std::mem::take(&mut self.omitted)
    }
}

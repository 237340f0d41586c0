//! The rate at which requests are logged.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Time over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Bounds the lines about requests; what is left out is counted.
///
/// Lines are counted by kind, so that many requests that end in one way hide none that ends in
/// another.
#[derive(Debug)]
pub struct Journal {
    since: Instant,
    lines: HashMap<&'static str, u32>,
    omitted: u64,
}

impl Journal {
    /// A journal without lines.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { since: now, lines: HashMap::new(), omitted: 0 }
    }

    /// Whether a line of a kind may be written; `limit` is in lines a second.
    pub fn admits(&mut self, now: Instant, kind: &'static str, limit: u32) -> bool {
        if now.saturating_duration_since(self.since) >= PERIOD {
            self.since = now;
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

    /// Lines left out since the last call.
    pub fn take_omitted(&mut self) -> u64 {
        std::mem::take(&mut self.omitted)
    }
}

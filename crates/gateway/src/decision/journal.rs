//! The rate at which requests are logged.

use std::time::{Duration, Instant};

/// Time over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Bounds the lines about requests; what is left out is counted.
#[derive(Debug)]
pub struct Journal {
    since: Instant,
    successes: u32,
    failures: u32,
    omitted: u64,
}

impl Journal {
    /// A journal without lines.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { since: now, successes: 0, failures: 0, omitted: 0 }
    }

    /// Whether a line may be written; the limits are in lines a second.
    pub fn admits(&mut self, now: Instant, is_success: bool, limits: (u32, u32)) -> bool {
        if now.saturating_duration_since(self.since) >= PERIOD {
            (self.since, self.successes, self.failures) = (now, 0, 0);
        }
        let (count, limit) = if is_success {
            (&mut self.successes, limits.0)
        } else {
            (&mut self.failures, limits.1)
        };
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

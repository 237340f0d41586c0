//! A token bucket.

use crate::moment::Moment;

/// A token bucket that never grants more than `burst + rate * time` tokens.
#[derive(Debug)]
pub(crate) struct Bucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Moment,
}

impl Bucket {
    /// An empty bucket without a rate; it grants nothing before the rate is set.
    pub(crate) fn new(burst: u32) -> Self {
        Self { rate_per_s: 0.0, burst: f64::from(burst), tokens: 0.0, refilled_at: 0.0 }
    }

    /// Changes the rate; tokens accumulated until `now` are kept, unless the new rate is 0.
    pub(crate) fn set_rate(&mut self, rate_per_s: f64, now: Moment) {
        self.refill(now);
        self.rate_per_s = if rate_per_s.is_finite() { rate_per_s.max(0.0) } else { 0.0 };
        if self.rate_per_s == 0.0 {
            self.tokens = 0.0;
        }
    }

    /// Takes one token; returns whether there was one.
    pub(crate) fn take(&mut self, now: Moment) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + elapsed * self.rate_per_s).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}

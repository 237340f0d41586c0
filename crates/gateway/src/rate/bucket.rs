//! Token bucket.

use std::time::Instant;

/// Token bucket: allows a number of events per second and a burst of up to its capacity.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates an empty bucket for up to `capacity` tokens with a rate of 0.
    #[must_use]
    pub fn new(now: Instant, capacity: f64) -> Self {
        Self { rate: 0.0, capacity, tokens: 0.0, refilled_at: now }
    }

    /// Sets the number of tokens per second. It also holds for the time since the last token was
    /// taken.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Tokens per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Tokens available at `now`.
    #[must_use]
    pub fn available(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        (self.tokens + elapsed * self.rate).min(self.capacity)
    }

    /// Takes a token; returns false if there is none.
    pub fn take(&mut self, now: Instant) -> bool {
        self.tokens = self.available(now);
        self.refilled_at = self.refilled_at.max(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Discards all tokens. The bucket begins to fill at `from`, which may be later than now.
    pub fn clear(&mut self, from: Instant) {
        (self.tokens, self.refilled_at) = (0.0, from);
    }
}

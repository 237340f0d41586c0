//! Budget for attempts beyond the first of a request.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Width of the steps in which requests are counted.
const STEP: Duration = Duration::from_millis(100);
/// Share of the allowance that is spent; the rest covers requests that are counted elsewhere at
/// another moment than here.
const SPENT_SHARE: f64 = 0.9;
/// Share of the allowance that hedges may use; the rest is kept for retries.
const HEDGE_SHARE: f64 = 0.75;

/// Bounds the attempts beyond the first in each sliding window.
///
/// All entry hosts share the bound: each spends a share of its own requests and an equal part of
/// the fixed allowance. A host that has just started has none of the latter for a whole window,
/// since its former incarnation may have spent it.
#[derive(Debug)]
pub struct Budget {
    window: Duration,
    ratio: f64,
    slack: f64,
    started: Instant,
    requests: VecDeque<(Instant, u32)>,
    total: u32,
    extra: VecDeque<Instant>,
}

impl Budget {
    /// A budget of `ratio` of the requests and this host's part `slack` in each `window`.
    #[must_use]
    pub fn new(now: Instant, window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            started: now,
            requests: VecDeque::new(),
            total: 0,
            extra: VecDeque::new(),
        }
    }

    /// Changes this host's part of the fixed allowance.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, now: Instant) {
        self.expire(now);
        self.total += 1;
        match self.requests.back_mut() {
            Some((at, count)) if now.duration_since(*at) < STEP => *count += 1,
            _ => self.requests.push_back((now, 1)),
        }
    }

    /// Takes one attempt for a retry; false if the budget is spent.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.take(now, SPENT_SHARE)
    }

    /// Takes one attempt for a hedge; false if only the part kept for retries is left.
    pub fn try_hedge(&mut self, now: Instant) -> bool {
        self.take(now, SPENT_SHARE * HEDGE_SHARE)
    }

    /// Attempts beyond the first in the current window.
    #[must_use]
    pub fn spent(&self) -> usize {
        self.extra.len()
    }

    fn take(&mut self, now: Instant, share: f64) -> bool {
        self.expire(now);
        let is_new = now.duration_since(self.started) < self.window;
        let slack = if is_new { 0.0 } else { self.slack };
        let allowed = (f64::from(self.total) * self.ratio + slack) * share;
        if self.extra.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.extra.push_back(now);
        true
    }

    fn expire(&mut self, now: Instant) {
        let is_old = |at: Instant| now.duration_since(at) >= self.window;
        while let Some((at, count)) = self.requests.front().copied().filter(|it| is_old(it.0)) {
            debug_assert!(is_old(at));
            self.total -= count;
            self.requests.pop_front();
        }
        while self.extra.front().copied().is_some_and(is_old) {
            self.extra.pop_front();
        }
    }
}

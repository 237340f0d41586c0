//! Budget for attempts beyond the first of a request.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::peer::Sharers;

/// Width of the buckets in which requests are counted.
const BUCKET_WIDTH: Duration = Duration::from_millis(100);
/// Share of the allowance that may be spent. The rest allows for requests that other daemons count
/// at slightly different times.
const USABLE_SHARE: f64 = 0.9;
/// Share of the usable allowance that hedges may use; the rest is reserved for retries.
const HEDGE_SHARE: f64 = 0.75;

/// Number of peers below which all daemons get equal parts of the fixed allowance: in a small fleet
/// callers use every daemon.
const SMALL_FLEET: u32 = 12;
/// In larger fleets, share of the fixed allowance that is divided equally among all daemons; the
/// rest goes to active daemons.
const EQUAL_SHARE: f64 = 0.25;

/// Limits the attempts beyond the first in each sliding window.
///
/// All entry hosts share the limit: each may spend a ratio of its own requests plus its part of the
/// fixed allowance, see [`slack_share`]. A daemon that has just started gets no part of the fixed
/// allowance for one whole window, since its previous incarnation may have spent it.
#[derive(Debug)]
pub struct Budget {
    window: Duration,
    ratio: f64,
    slack: f64,
    started: Instant,
    requests: VecDeque<(Instant, u32)>,
    request_total: u32,
    extra_attempts: VecDeque<Instant>,
}

/// This daemon's share of the fixed allowance of all daemons. `peers` counts the other daemons;
/// `is_known_active` says that this daemon has been active for a whole window, so that every peer
/// already counts it as active.
#[must_use]
pub fn slack_share(peers: Sharers, is_known_active: bool) -> f64 {
    if peers.all < SMALL_FLEET {
        return 1.0 / f64::from(peers.all + 1);
    }
    let equal = EQUAL_SHARE / f64::from(peers.all + 1);
    let active = (1.0 - EQUAL_SHARE) / f64::from(peers.active + 1);
    if is_known_active { equal + active } else { equal }
}

impl Budget {
    /// Creates a budget of `ratio` of the requests plus this daemon's part `slack` of the fixed
    /// allowance, per `window`.
    #[must_use]
    pub fn new(now: Instant, window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            started: now,
            requests: VecDeque::new(),
            request_total: 0,
            extra_attempts: VecDeque::new(),
        }
    }

    /// Sets the sliding window, the ratio of requests and this daemon's part of the fixed allowance.
    pub fn set(&mut self, now: Instant, window: Duration, ratio: f64, slack: f64) {
        if window > self.window {
            // What was spent of the fixed allowance in the longer window isn't known.
            self.started = now;
        }
        (self.window, self.ratio, self.slack) = (window, ratio, slack);
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.request_total += 1;
        match self.requests.back_mut() {
            Some((at, count)) if now.duration_since(*at) < BUCKET_WIDTH => *count += 1,
            _ => self.requests.push_back((now, 1)),
        }
    }

    /// Takes one attempt for a retry; returns false if the budget is exhausted.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.take(now, USABLE_SHARE)
    }

    /// Takes one attempt for a hedge; returns false if only the part reserved for retries is left.
    pub fn try_hedge(&mut self, now: Instant) -> bool {
        self.take(now, USABLE_SHARE * HEDGE_SHARE)
    }

    /// Number of attempts beyond the first in the current window.
    #[must_use]
    pub fn spent(&self) -> usize {
        self.extra_attempts.len()
    }

    fn take(&mut self, now: Instant, share: f64) -> bool {
        self.expire(now);
        let is_new = now.duration_since(self.started) < self.window;
        let slack = if is_new { 0.0 } else { self.slack };
        let allowed = (f64::from(self.request_total) * self.ratio + slack) * share;
        if self.extra_attempts.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.extra_attempts.push_back(now);
        true
    }

    fn expire(&mut self, now: Instant) {
        let is_old = |at: Instant| now.duration_since(at) >= self.window;
        while let Some((at, count)) = self.requests.front().copied().filter(|it| is_old(it.0)) {
            debug_assert!(is_old(at));
            self.request_total -= count;
            self.requests.pop_front();
        }
        while self.extra_attempts.front().copied().is_some_and(is_old) {
            self.extra_attempts.pop_front();
        }
    }
}

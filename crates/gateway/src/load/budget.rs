//! Budget for attempts beyond the first of a request.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::peer::Sharers;

/// Width of the steps in which requests are counted.
const STEP: Duration = Duration::from_millis(100);
/// Share of the allowance that is spent; the rest covers requests that are counted elsewhere at
/// another moment than here.
const SPENT_SHARE: f64 = 0.9;
/// Share of the allowance that hedges may use; the rest is kept for retries.
const HEDGE_SHARE: f64 = 0.75;

/// Peers below which all daemons have equal parts of the fixed allowance: callers use them all.
const SMALL_FLEET: u32 = 12;
/// In larger fleets, share of the fixed allowance that is divided among all daemons; the rest goes to
/// those that callers use.
const IDLE_SHARE: f64 = 0.25;

/// Bounds the attempts beyond the first in each sliding window.
///
/// All entry hosts share the bound: each spends a share of its own requests and its part of the
/// fixed allowance, see [`slack_part`]. A host that has just started has none of the latter for a whole
/// window, since its former incarnation may have spent it.
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

/// Part of a fixed allowance of all daemons that is this daemon's own, as a share. `peers` are the
/// others; `is_settled` tells that callers have used this daemon for a whole window, so that every
/// peer counts it by now.
#[must_use]
pub fn slack_part(peers: Sharers, is_settled: bool) -> f64 {
    if peers.all < SMALL_FLEET {
        return 1.0 / f64::from(peers.all + 1);
    }
    let idle = IDLE_SHARE / f64::from(peers.all + 1);
    let active = (1.0 - IDLE_SHARE) / f64::from(peers.active + 1);
    if is_settled { idle + active } else { idle }
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

    /// Changes the share of requests, and this host's part of the fixed allowance.
    pub fn set(&mut self, ratio: f64, slack: f64) {
        (self.ratio, self.slack) = (ratio, slack);
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

//! Whether an upstream is cold, and how many requests this daemon may send it then.

use std::time::{Duration, Instant};

use super::SlowStart;
use crate::rate::Bucket;

/// Time for which a daemon that begins to share the rate of an upstream sends it nothing, so that
/// the daemon whose part it takes over has learned of it.
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// Time for which an upstream counts as just added.
const NEW_TIME: Duration = Duration::from_millis(1_500);
/// Time within which a registration that was written before a health answer may be read after it.
const REGISTRATION_DELAY: Duration = Duration::from_secs(3);
/// Time after which a cold upstream that has got no request is chosen before others, so that each
/// one gets some requests.
const TRIAL_DELAY: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Cold,
    Warm,
}

/// Whether an upstream is cold, and how many requests this daemon may send it then.
#[derive(Clone, Debug)]
pub struct Temperature {
    is_limited: bool,
    cold_until: Instant,
    /// Whether the upstream itself has said how long it is cold.
    is_known: bool,
    reported_at: Option<Instant>,
    checked_at: Option<Instant>,
    unknown_since: Instant,
    source: &'static str,
    had_odd_value: bool,
    /// State at the last call of [`Self::take_change`].
    logged: State,
    bucket: Bucket,
    /// Position of this daemon among those that share the rate of the upstream.
    rank: Option<usize>,
    shares_since: Option<Instant>,
    added_at: Instant,
    started_at: Instant,
}

impl Temperature {
    /// Creates the state of an upstream whose first registration says `cold_for`.
    #[must_use]
    pub fn new(now: Instant, cold_for: Duration) -> Self {
        Self {
            is_limited: false,
            // A peer's datagram may carry any duration.
            cold_until: now.checked_add(cold_for).unwrap_or(now),
            is_known: true,
            reported_at: None,
            checked_at: None,
            unknown_since: now,
            source: "registration",
            had_odd_value: false,
            logged: State::Warm,
            bucket: Bucket::new(now, 1.0),
            rank: None,
            shares_since: None,
            added_at: now,
            started_at: now,
        }
    }

    /// Whether the upstream is cold or may be.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Time for which the upstream is still cold.
    #[must_use]
    pub fn cold_for(&self, now: Instant) -> Duration {
        self.cold_until.saturating_duration_since(now)
    }

    /// Whether the upstream itself has said how long it is cold.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// What the state was last learned from.
    #[must_use]
    pub fn source(&self) -> &'static str {
        self.source
    }

    /// Position of this daemon among those that share the rate of the upstream.
    #[must_use]
    pub fn rank(&self) -> Option<usize> {
        self.rank
    }

    /// Sets the position of this daemon among those that share the rate of the upstream.
    pub fn set_rank(&mut self, rank: Option<usize>) {
        self.rank = rank;
    }

    /// Sets whether the service limits requests to cold upstreams.
    pub fn set_limited(&mut self, is_limited: bool) {
        self.is_limited = is_limited;
    }

    /// Sets this daemon's part of the rate, if it is one of the `sharers`.
    pub fn share(&mut self, now: Instant, sharers: usize, rate: f64) {
        if self.rank.is_some_and(|it| it < sharers) {
            if self.shares_since.is_none() {
                // Nobody else has shared the rate of an upstream that was just added.
                let is_new = now.saturating_duration_since(self.added_at) < NEW_TIME;
                let from = if is_new { now } else { now + SETTLING_TIME };
                self.shares_since = Some(from);
                self.bucket.clear(from);
            }
            self.bucket.set_rate(rate);
        } else {
            self.shares_since = None;
            self.bucket.set_rate(0.0);
            self.bucket.clear(now);
        }
    }

    /// Treats the upstream as cold for `duration`, until it is known whether it is.
    pub fn set_unknown(&mut self, now: Instant, duration: Duration) {
        if !self.is_cold(now) {
            self.set(now, duration, "unknown");
            self.is_known = false;
            self.unknown_since = now;
        }
    }

    /// Records a later registration of the same incarnation.
    pub fn record_registration(&mut self, now: Instant, cold_for: Duration, limit: &SlowStart) {
        let is_recent = |it: Instant| now.saturating_duration_since(it) < REGISTRATION_DELAY;
        let is_longer = cold_for > self.cold_for(now);
        if is_longer && self.is_known || !self.reported_at.is_some_and(is_recent) {
            self.set(now, cold_for.min(limit.max_duration()), "registration");
        }
    }

    /// Records what the upstream says in a health answer. Returns whether peers must be notified: it
    /// was warm before, or unknown and this daemon shares its rate.
    pub fn record_health(&mut self, now: Instant, cold_for: Duration, limit: &SlowStart) -> bool {
        let becomes_cold = !self.is_cold(now) && !cold_for.is_zero();
        let is_news = becomes_cold || !self.is_known && self.shares_since.is_some();
        self.set(now, cold_for.min(limit.max_duration()), "health");
        self.reported_at = Some(now);
        self.checked_at = Some(now);
        is_news
    }

    /// Records what the upstream has said to a peer.
    pub fn record_peer(&mut self, now: Instant, cold_for: Duration, limit: &SlowStart) {
        let cold_for = cold_for.min(limit.max_duration());
        if !self.is_known || cold_for > self.cold_for(now) {
            self.set(now, cold_for, "peer");
            self.reported_at = Some(now);
        }
    }

    /// Records a value that is no plausible time. A too long one counts as a whole slow start, once:
    /// an upstream that says it all the time does not stay cold. Returns whether it is the first.
    pub fn record_odd_value(&mut self, now: Instant, is_long: bool, limit: &SlowStart) -> bool {
        let is_first = !std::mem::replace(&mut self.had_odd_value, true);
        if is_first && is_long {
            self.set(now, limit.max_duration(), "health");
        }
        is_first
    }

    /// Whether this daemon must ask the upstream now whether it is cold; if so, that counts as done.
    ///
    /// The first of the daemons that share the rate asks at each `interval`. While the temperature is
    /// unknown, the other ones that share it ask as well, and those that don't share it ask after
    /// `delay` if callers use them and nothing has said so yet.
    pub fn take_check(
        &mut self,
        now: Instant,
        is_active: bool,
        interval: Duration,
        delay: Duration,
    ) -> bool {
        let age = |it: Instant| now.saturating_duration_since(it);
        let is_checker = self.rank == Some(0)
            || !self.is_known
                && self.is_cold(now)
                && (self.shares_since.is_some() || is_active && age(self.unknown_since) >= delay);
        let is_due = is_checker && self.checked_at.is_none_or(|it| age(it) >= interval);
        if is_due {
            self.checked_at = Some(now);
        }
        is_due
    }

    /// Whether another request may be sent now as far as the slow start is concerned.
    #[must_use]
    pub fn allows(&self, now: Instant) -> bool {
        !self.is_limited || !self.is_cold(now) || self.bucket.available(now) >= 1.0
    }

    /// Whether the upstream is cold, may get a request and has not got one from this daemon for
    /// [`TRIAL_DELAY`].
    #[must_use]
    pub fn needs_trial(&self, now: Instant) -> bool {
        self.is_limited
            && self.is_cold(now)
            && self.allows(now)
            && now.saturating_duration_since(self.started_at) >= TRIAL_DELAY
    }

    /// Records that a request is sent.
    pub fn start(&mut self, now: Instant) {
        self.started_at = now;
        if self.is_limited && self.is_cold(now) {
            self.bucket.take(now);
        }
    }

    /// Whether the upstream has become cold (true) or warm (false) since the last call.
    pub fn take_change(&mut self, now: Instant) -> Option<bool> {
        let state = if self.is_cold(now) { State::Cold } else { State::Warm };
        let before = std::mem::replace(&mut self.logged, state);
        (before != state).then_some(state == State::Cold)
    }

    fn set(&mut self, now: Instant, cold_for: Duration, source: &'static str) {
        if !self.is_cold(now) && !cold_for.is_zero() {
            self.bucket.clear(self.shares_since.map_or(now, |it| it.max(now)));
        }
        self.cold_until = now.checked_add(cold_for).unwrap_or(now);
        self.is_known = true;
        self.source = source;
    }
}

//! Limits on the requests to cold upstreams of a service.

use std::time::{Duration, Instant};

use super::{INITIAL_SERVICE_TIME, Service};
use crate::{load::SlowStart, registry::UpstreamId};

/// Interval at which the first of the daemons that share an upstream's rate asks it whether it is
/// cold, if no probe has done so: it may become cold again at any time.
const CHECK_INTERVAL: Duration = Duration::from_millis(600);
/// Time after which a daemon that does not share the rate of an upstream of unknown temperature asks
/// the upstream itself.
const UNKNOWN_CHECK_DELAY: Duration = Duration::from_secs(1);

impl Service {
    /// How many requests cold upstreams tolerate.
    #[must_use]
    pub fn slow_start(&self) -> &SlowStart {
        &self.slow_start
    }

    /// Sets how many requests cold upstreams tolerate.
    pub fn set_slow_start(&mut self, slow_start: SlowStart) {
        self.slow_start = slow_start;
        for it in self.upstreams.values_mut() {
            it.temperature.set_limited(slow_start.is_limited());
        }
    }

    /// Sets this daemon's parts of the rates of cold upstreams; `presence` is the part of the known
    /// daemons that it is in contact with, see [`SlowStart::shares`].
    pub fn share_slow_start(&mut self, now: Instant, presence: f64) {
        if self.slow_start.is_limited() {
            let (sharers, rate) = self.slow_start.shares(presence);
            for it in self.upstreams.values_mut() {
                it.temperature.share(now, sharers, rate);
            }
        }
    }

    /// Treats the upstreams of a failure domain as cold until it is known whether they are, because
    /// nothing was heard from them for some time.
    pub fn mark_unknown_temperature(&mut self, now: Instant, domain: &str) {
        if !self.slow_start.is_limited() {
            return;
        }
        let duration = self.slow_start.max_duration();
        for it in self.upstreams.values_mut().filter(|it| &*it.registration.domain == domain) {
            it.temperature.set_unknown(now, duration);
        }
    }

    /// Records the time for which an upstream says in a health answer that it is still cold. Returns
    /// whether peers must be notified.
    pub fn record_health(&mut self, now: Instant, id: &str, cold_for: Duration) -> bool {
        let limit = self.slow_start;
        let upstream = self.upstreams.get_mut(id).filter(|_| limit.is_limited());
        upstream.is_some_and(|it| it.temperature.record_health(now, cold_for, &limit))
    }

    /// Records the time for which an upstream has said to a peer that it is still cold.
    pub fn record_peer_temperature(&mut self, now: Instant, id: &str, cold_for: Duration) {
        let limit = self.slow_start;
        if let Some(it) = self.upstreams.get_mut(id).filter(|_| limit.is_limited()) {
            it.temperature.record_peer(now, cold_for, &limit);
        }
    }

    /// Records a health answer with an implausible time; `is_long` says that it is too long rather
    /// than no time at all. Returns whether it is the first from this incarnation.
    pub fn record_odd_temperature(&mut self, now: Instant, id: &str, is_long: bool) -> bool {
        let limit = self.slow_start;
        let upstream = self.upstreams.get_mut(id).filter(|_| limit.is_limited());
        upstream.is_some_and(|it| it.temperature.record_odd_value(now, is_long, &limit))
    }

    /// Upstreams that this daemon must ask now whether they are cold. Those returned count as asked.
    /// `is_active` says whether callers use this daemon.
    pub fn temperature_checks(&mut self, now: Instant, is_active: bool) -> Vec<UpstreamId> {
        if !self.slow_start.is_limited() {
            return Vec::new();
        }
        let open = self.upstreams.values_mut().filter(|it| it.accepts_requests(now));
        let due = open.filter_map(|it| {
            let is_due =
                it.temperature.take_check(now, is_active, CHECK_INTERVAL, UNKNOWN_CHECK_DELAY);
            is_due.then(|| it.registration.id.clone())
        });
        due.collect()
    }

    /// Number of upstreams that are cold or may be.
    #[must_use]
    pub fn cold_count(&self, now: Instant) -> usize {
        let is_limited = self.slow_start.is_limited();
        self.upstreams.values().filter(|it| is_limited && it.temperature.is_cold(now)).count()
    }

    /// Upstreams that have become cold (true) or warm (false) since the last call.
    pub fn take_temperature_changes(&mut self, now: Instant) -> Vec<(UpstreamId, bool)> {
        if !self.slow_start.is_limited() {
            return Vec::new();
        }
        let change = |it: &mut super::Upstream| {
            it.temperature.take_change(now).map(|is_cold| (it.registration.id.clone(), is_cold))
        };
        self.upstreams.values_mut().filter_map(change).collect()
    }

    /// Counts a request that has found no upstream, if one outside `tried` has a free slot but is
    /// cold and at its limit.
    pub fn record_held(&mut self, now: Instant, tried: &[UpstreamId]) {
        let slowdown = self.slowdown();
        let is_held = self.slow_start.is_limited()
            && self.upstreams.values().any(|it| {
                !tried.contains(&it.registration.id)
                    && it.has_free_slot(now, &self.settings, slowdown)
                    && !it.temperature.allows(now)
            });
        self.held_by_slow_start += u64::from(is_held);
    }

    /// Number of requests counted by [`Self::record_held`] since the last call.
    pub fn take_held(&mut self) -> u64 {
        std::mem::take(&mut self.held_by_slow_start)
    }

    /// Mean service time of all routes, in seconds.
    pub(super) fn mean_service_time_s(&self) -> f64 {
        if self.works.is_empty() {
            return INITIAL_SERVICE_TIME.as_secs_f64();
        }
        let total: f64 = self.works.values().map(|it| it.mean().as_secs_f64()).sum();
        total / self.works.len() as f64
    }
}

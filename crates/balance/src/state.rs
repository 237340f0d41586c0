//! The state that a balancer keeps of one upstream.

use crate::{
    Settings, Upstream,
    estimator::Estimator,
    health::Health,
    limit::Limit,
    load::Load,
    moment::{Moment, decay, lerp},
    peers::Aggregate,
    service::Means,
    subset,
};

/// Minimum share of its limit that an upstream has during slow start.
const MIN_SLOW_START_SHARE: f64 = 0.2;
/// Minimum time constant of an upstream's service time, in service times.
const MIN_DECAY_SERVICE_TIMES: f64 = 10.0;
/// Assumed error of a report at its arrival, in requests.
const REPORT_ERROR_REQUESTS: f64 = 2.0;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) serial: u64,
    pub(crate) at: Moment,
    /// Expected time at the upstream, with queueing, in service times.
    pub(crate) slowdown: f64,
}

/// The state that a balancer keeps of one upstream.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) upstream: Upstream,
    /// Rank in the order in which this host adds upstreams to its subset.
    pub(crate) subset_rank: u64,
    pub(crate) is_local: bool,
    pub(crate) is_leaving: bool,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) load: Load,
    pub(crate) estimator: Estimator,
    pub(crate) health: Health,
    pub(crate) limit: Limit,
    pub(crate) peer_load: Aggregate,
    pub(crate) slow_start_from: Option<Moment>,
    pub(crate) probed_at: Option<Moment>,
}

/// Estimates for an upstream at the time of a choice; times in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    pub(crate) expected: f64,
    pub(crate) slowdown: f64,
    pub(crate) others: f64,
    pub(crate) has_room: bool,
}

impl State {
    /// The initial state of an upstream.
    pub(crate) fn new(upstream: Upstream, is_local: bool, hosts: u32, host_seed: u64) -> Self {
        let subset_rank = subset::rank(host_seed, &upstream.id);
        let limit = Limit::new(upstream.slots, hosts);
        Self {
            upstream,
            subset_rank,
            is_local,
            is_leaving: false,
            attempts: Vec::new(),
            load: Load::default(),
            estimator: Estimator::default(),
            health: Health::default(),
            limit,
            peer_load: Aggregate::default(),
            slow_start_from: None,
            probed_at: None,
        }
    }

    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.upstream.slots.max(1))
    }

    /// This host's requests in flight.
    pub(crate) fn own(&self) -> u32 {
        u32::try_from(self.attempts.len()).unwrap_or(u32::MAX)
    }

    /// Whether the upstream may get requests; an ejection applies only with `count_failures`.
    pub(crate) fn is_eligible(&self, now: Moment, count_failures: bool) -> bool {
        let ejected = count_failures && self.health.is_ejected(now);
        !(self.is_leaving || ejected)
    }

    /// This host's requests that are included in a report received at `now`.
    pub(crate) fn own_in_report(&self, now: Moment, settings: &Settings) -> usize {
        let latest = now - settings.round_trip.as_secs_f64();
        self.attempts.iter().filter(|it| it.at <= latest).count()
    }

    /// Service time in seconds, from answers and from this host's requests still in flight.
    pub(crate) fn service_time(&self, now: Moment, settings: &Settings, means: Means) -> f64 {
        let time_constant = service_time_decay(settings, means);
        let pending: f64 = self.attempts.iter().map(|it| (now - it.at) / it.slowdown).sum();
        let mean = means.service_time;
        self.estimator.estimate(now, time_constant, settings.prior_answers, mean, pending.max(0.0))
    }

    /// Share of its full limit that slow start allows the upstream at `now`.
    pub(crate) fn slow_start_share(&self, now: Moment, settings: &Settings) -> f64 {
        let Some(from) = self.slow_start_from else { return 1.0 };
        let total = settings.slow_start.as_secs_f64();
        if total <= 0.0 { 1.0 } else { ((now - from) / total).clamp(MIN_SLOW_START_SHARE, 1.0) }
    }

    /// Estimates for a choice at `now`; failures count only with `count_failures`.
    pub(crate) fn estimate(
        &self,
        now: Moment,
        settings: &Settings,
        means: Means,
        count_failures: bool,
    ) -> Estimate {
        let service_time = self.service_time(now, settings, means);
        let (others, error) = self.others(now, settings, means);
        let share = self.slow_start_share(now, settings);
        let present = f64::from(self.own()) + others;
        let slowdown = 1.0 + smooth_excess(present + 1.0 - self.slots(), error) / self.slots();
        let distance = if self.is_local { 0.0 } else { settings.remote_penalty.as_secs_f64() };
        let failures = if count_failures { self.health.failure_share(now, settings) } else { 0.0 };
        let penalty = failures * settings.failure_penalty * means.service_time;
        Estimate {
            expected: service_time * slowdown / share + distance + penalty,
            slowdown,
            others,
            has_room: self.room_with_others(now, settings, others) > 0,
        }
    }

    /// Further requests that this host may send now.
    pub(crate) fn room(&self, now: Moment, settings: &Settings, means: Means) -> u32 {
        let (others, _) = self.others(now, settings, means);
        self.room_with_others(now, settings, others)
    }

    fn room_with_others(&self, now: Moment, settings: &Settings, others: f64) -> u32 {
        if self.health.is_half_open(now) {
            return u32::from(self.attempts.is_empty());
        }
        let capacity = self.slots() * (1.0 + f64::from(settings.headroom_percent) / 100.0) - others;
        let limit = (self.limit.value() * self.slow_start_share(now, settings)).max(1.0);
        let own = f64::from(self.own());
        floor(capacity.min(limit) - own)
    }

    /// Estimate of other hosts' requests at the upstream, and its error.
    fn others(&self, now: Moment, settings: &Settings, means: Means) -> (f64, f64) {
        let time_constant = settings.report_decay * means.service_time;
        let weight = self.load.freshness(now, time_constant);
        let peers = self.peers_in_flight(now, time_constant, means);
        let others = lerp(peers, self.load.others(), weight);
        let error = (peers * (1.0 - weight)).sqrt() + REPORT_ERROR_REQUESTS;
        (others, error)
    }

    fn peers_in_flight(&self, now: Moment, time_constant: f64, means: Means) -> f64 {
        let mean = means.others_per_slot * self.slots();
        let weight = self.peer_load.at.map_or(0.0, |at| decay(now - at, time_constant));
        lerp(mean, self.peer_load.in_flight, weight)
    }
}

/// Time constant in seconds with which a service time decays to the service's mean. It spans
/// several service times, because a slow service gives few answers in a fixed time.
pub(crate) fn service_time_decay(settings: &Settings, means: Means) -> f64 {
    settings.service_time_decay.as_secs_f64().max(MIN_DECAY_SERVICE_TIMES * means.service_time)
}

/// The part of `excess` above 0, smoothed over `error`, so that a slot that may be occupied is
/// worth less than one that is certainly free.
fn smooth_excess(excess: f64, error: f64) -> f64 {
    0.5 * (excess + (excess * excess + error * error).sqrt())
}

/// The integer part of a number, 0 if it is negative.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the range")]
fn floor(it: f64) -> u32 {
    it.clamp(0.0, f64::from(u32::MAX)) as u32
}

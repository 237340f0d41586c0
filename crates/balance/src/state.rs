//! What a balancer knows of one upstream.

use crate::{
    Settings, Upstream,
    health::Health,
    limit::Limit,
    load::Load,
    moment::{Moment, blend, fade},
    peers::Told,
    service::Means,
    speed::Speed,
    subset,
};

/// Least share of its limit that an upstream has while it is brought up.
const LEAST_RAMP: f64 = 0.2;
/// Least time constant of an upstream's service time, in service times.
const SPEED_MEMORY_ANSWERS: f64 = 10.0;
/// Requests by which a report without age may be wrong.
const REPORT_ERROR: f64 = 2.0;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flight {
    pub(crate) serial: u64,
    pub(crate) at: Moment,
    /// Expected time at the upstream, in service times.
    pub(crate) stretch: f64,
}

/// What a balancer knows of one upstream.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) upstream: Upstream,
    /// Place in the order in which this host takes upstreams into its subset.
    pub(crate) order: u64,
    pub(crate) home: bool,
    pub(crate) leaving: bool,
    pub(crate) flights: Vec<Flight>,
    pub(crate) load: Load,
    pub(crate) speed: Speed,
    pub(crate) health: Health,
    pub(crate) limit: Limit,
    pub(crate) told: Told,
    pub(crate) ramp_from: Option<Moment>,
    pub(crate) probed_at: Option<Moment>,
}

/// Figures of an upstream at the time of a choice.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View {
    pub(crate) expected: f64,
    pub(crate) stretch: f64,
    pub(crate) others: f64,
    pub(crate) has_room: bool,
}

impl State {
    /// An upstream of which nothing is known yet.
    pub(crate) fn new(upstream: Upstream, home: bool, hosts: u32, host_seed: u64) -> Self {
        let order = subset::order(host_seed, &upstream.id);
        let limit = Limit::new(upstream.slots, hosts);
        Self {
            upstream,
            order,
            home,
            leaving: false,
            flights: Vec::new(),
            load: Load::default(),
            speed: Speed::default(),
            health: Health::default(),
            limit,
            told: Told::default(),
            ramp_from: None,
            probed_at: None,
        }
    }

    /// Slots of the upstream.
    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.upstream.slots.max(1))
    }

    /// Own requests in flight.
    pub(crate) fn own(&self) -> u32 {
        u32::try_from(self.flights.len()).unwrap_or(u32::MAX)
    }

    /// Whether the upstream may be given work; ejection counts only if failures are `trusted`.
    pub(crate) fn may_work(&self, now: Moment, trusted: bool) -> bool {
        let ejected = trusted && self.health.is_ejected(now);
        !(self.leaving || ejected)
    }

    /// Own requests that a report received at `now` counts.
    pub(crate) fn own_in_report(&self, now: Moment, settings: &Settings) -> usize {
        let latest = now - settings.round_trip.as_secs_f64();
        self.flights.iter().filter(|it| it.at <= latest).count()
    }

    /// Service time in seconds, from answers and own requests still in flight.
    pub(crate) fn service_time(&self, now: Moment, settings: &Settings, means: Means) -> f64 {
        let memory = speed_memory(settings, means);
        let pending: f64 = self.flights.iter().map(|it| (now - it.at) / it.stretch).sum();
        let mean = means.service_time;
        self.speed.estimate(now, memory, settings.speed_prior, mean, pending.max(0.0))
    }

    /// Share of its full limit that the upstream may have at `now`.
    pub(crate) fn ramp(&self, now: Moment, settings: &Settings) -> f64 {
        let Some(from) = self.ramp_from else { return 1.0 };
        let whole = settings.ramp.as_secs_f64();
        if whole <= 0.0 { 1.0 } else { ((now - from) / whole).clamp(LEAST_RAMP, 1.0) }
    }

    /// Figures for a choice at `now`; failures count only if they are `trusted`.
    pub(crate) fn view(
        &self,
        now: Moment,
        settings: &Settings,
        means: Means,
        trusted: bool,
    ) -> View {
        let service_time = self.service_time(now, settings, means);
        let (others, error) = self.others(now, settings, means);
        let ramp = self.ramp(now, settings);
        let present = f64::from(self.own()) + others;
        let stretch = 1.0 + smooth_excess(present + 1.0 - self.slots(), error) / self.slots();
        let distance = if self.home { 0.0 } else { settings.remote_cost.as_secs_f64() };
        let failures = if trusted { self.health.failure_share(now, settings) } else { 0.0 };
        let penalty = failures * settings.failure_cost * means.service_time;
        View {
            expected: service_time * stretch / ramp + distance + penalty,
            stretch,
            others,
            has_room: self.room_beside(now, settings, others) > 0,
        }
    }

    /// Further own requests that may be sent now.
    pub(crate) fn room(&self, now: Moment, settings: &Settings, means: Means) -> u32 {
        let (others, _) = self.others(now, settings, means);
        self.room_beside(now, settings, others)
    }

    fn room_beside(&self, now: Moment, settings: &Settings, others: f64) -> u32 {
        if self.health.is_on_trial(now) {
            return u32::from(self.flights.is_empty());
        }
        let most = self.slots() * (1.0 + f64::from(settings.headroom_percent) / 100.0) - others;
        let limit = (self.limit.value() * self.ramp(now, settings)).max(1.0);
        let own = f64::from(self.own());
        floor(most.min(limit) - own)
    }

    /// Estimate of others' requests at the upstream, and by how much it may be wrong.
    fn others(&self, now: Moment, settings: &Settings, means: Means) -> (f64, f64) {
        let memory = settings.report_memory * means.service_time;
        let weight = self.load.freshness(now, memory);
        let usual = self.peers_in_flight(now, memory, means);
        let others = blend(usual, self.load.others(), weight);
        let error = (usual * (1.0 - weight)).sqrt() + REPORT_ERROR;
        (others, error)
    }

    fn peers_in_flight(&self, now: Moment, memory: f64, means: Means) -> f64 {
        let mean = means.others_per_slot * self.slots();
        let weight = self.told.at.map_or(0.0, |at| fade(now - at, memory));
        blend(mean, self.told.in_flight, weight)
    }
}

/// Time constant in seconds with which a service time returns to the service's mean: where answers
/// take long, it must span several of them.
pub(crate) fn speed_memory(settings: &Settings, means: Means) -> f64 {
    settings.speed_memory.as_secs_f64().max(SPEED_MEMORY_ANSWERS * means.service_time)
}

/// The part of `excess` above 0, smoothed over `error`, so that a doubtful slot is worth less than
/// a certain one.
fn smooth_excess(excess: f64, error: f64) -> f64 {
    0.5 * (excess + (excess * excess + error * error).sqrt())
}

/// The whole part of a number, 0 if it is negative.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "cut to the range")]
fn floor(it: f64) -> u32 {
    it.clamp(0.0, f64::from(u32::MAX)) as u32
}

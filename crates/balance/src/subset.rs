//! The size of the subset of a service's upstreams that one entry host uses.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
};

use crate::moment::{Moment, decay, lerp};

/// Upstreams per request in flight: with fewer, entry hosts load the upstreams unevenly; with more,
/// each upstream reports to each entry host too rarely.
const UPSTREAMS_PER_REQUEST: f64 = 2.0;
/// Range in which the size does not change, in upstreams per request in flight. The demand ranges
/// of adjacent sizes overlap, so the size follows lasting changes of demand and not short
/// fluctuations.
const HYSTERESIS: std::ops::RangeInclusive<f64> = 1.5..=3.0;
/// Minimum size, so that enough upstreams remain when a few are slow or fail.
const MIN_SIZE: usize = 8;
/// Time constant of the mean demand, in seconds.
const DEMAND_DECAY_S: f64 = 1.0;

/// Size of the subset, derived from the entry host's own demand.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Subset {
    demand: f64,
    observed_at: Moment,
    size: usize,
    changes: u64,
}

impl Subset {
    /// A subset that initially contains all of `total` upstreams.
    pub(crate) fn new(total: usize) -> Self {
        Self {
            demand: as_f64(total) / UPSTREAMS_PER_REQUEST,
            observed_at: 0.0,
            size: total,
            changes: 0,
        }
    }

    /// Records that this host has `in_flight` requests in flight.
    pub(crate) fn observe(&mut self, now: Moment, in_flight: usize) {
        let kept = decay(now - self.observed_at, DEMAND_DECAY_S);
        let in_flight = as_f64(in_flight);
        self.demand = lerp(in_flight, self.demand, kept);
        self.observed_at = self.observed_at.max(now);
        let size = as_f64(self.size);
        if size < self.demand * HYSTERESIS.start() || size > self.demand * HYSTERESIS.end() {
            self.resize();
        }
    }

    /// Number of upstreams to use out of `total`.
    pub(crate) fn size(&self, total: usize) -> usize {
        self.size.max(MIN_SIZE).min(total)
    }

    /// Number of changes of the size so far.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    fn resize(&mut self) {
        let before = self.size.max(MIN_SIZE);
        self.size = ceil(self.demand * UPSTREAMS_PER_REQUEST);
        self.changes += u64::from(self.size.max(MIN_SIZE) != before);
    }
}

/// Rank of an upstream in the order in which one entry host adds upstreams to its subset.
///
/// Rendezvous hashing: the orders of two hosts are independent, and adding or removing an upstream
/// does not change the rank of any other.
pub(crate) fn rank(host_seed: u64, upstream: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (host_seed, upstream).hash(&mut hasher);
    hasher.finish()
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the range")]
fn ceil(it: f64) -> usize {
    it.ceil().clamp(0.0, f64::from(u32::MAX)) as usize
}

//! How many of a service's upstreams one entry host uses.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
};

use crate::moment::{Moment, blend, fade};

/// Upstreams for each request in flight: with fewer, entry hosts load the upstreams unevenly; with
/// more, each upstream reports to each entry host too rarely.
const UPSTREAMS_PER_REQUEST: f64 = 2.0;
/// Bounds between which the size stays as it is, in upstreams for each request in flight. The
/// intervals of demand for neighbouring sizes overlap, so the size follows the demand as a whole
/// and not its short swings.
const KEPT: std::ops::RangeInclusive<f64> = 1.5..=3.0;
/// Smallest subset, so that a few slow or failing upstreams leave enough others.
const LEAST: usize = 8;
/// Time constant of the mean demand, in seconds.
const DEMAND_MEMORY_S: f64 = 1.0;

/// Size of the part of the upstreams that one entry host uses, sized from its own demand.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Subset {
    demand: f64,
    at: Moment,
    size: usize,
    changes: u64,
}

impl Subset {
    /// A subset that starts with all of `total` upstreams.
    pub(crate) fn new(total: usize) -> Self {
        Self { demand: as_f64(total) / UPSTREAMS_PER_REQUEST, at: 0.0, size: total, changes: 0 }
    }

    /// Takes in that `in_flight` own requests are in flight.
    pub(crate) fn observe(&mut self, now: Moment, in_flight: usize) {
        let kept = fade(now - self.at, DEMAND_MEMORY_S);
        let in_flight = as_f64(in_flight);
        self.demand = blend(in_flight, self.demand, kept);
        self.at = self.at.max(now);
        let size = as_f64(self.size);
        if size < self.demand * KEPT.start() || size > self.demand * KEPT.end() {
            self.resize();
        }
    }

    /// Upstreams to use of `total`.
    pub(crate) fn size(&self, total: usize) -> usize {
        self.size.max(LEAST).min(total)
    }

    /// Changes of the size so far.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    fn resize(&mut self) {
        let before = self.size.max(LEAST);
        self.size = ceil(self.demand * UPSTREAMS_PER_REQUEST);
        self.changes += u64::from(self.size.max(LEAST) != before);
    }
}

/// Place of an upstream in the order in which one entry host takes upstreams into its subset.
///
/// The orders of two hosts are independent, and a change of the list moves no other upstream
/// (rendezvous hashing).
pub(crate) fn order(host_seed: u64, upstream: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (host_seed, upstream).hash(&mut hasher);
    hasher.finish()
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "cut to the range")]
fn ceil(it: f64) -> usize {
    it.ceil().clamp(0.0, f64::from(u32::MAX)) as usize
}

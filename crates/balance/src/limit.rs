//! The limit of this host's requests in flight to an upstream.

use crate::{
    Report,
    moment::{Moment, decay, lerp},
};

/// Time constant of the mean of reported queues, in seconds: long enough to distinguish a lasting
/// overload from a noisy neighbour's short queue.
const QUEUE_DECAY_S: f64 = 2.0;
/// Factor applied to the limit after a report of a long queue.
const QUEUE_BACKOFF_FACTOR: f64 = 0.8;
/// Factor applied to the limit after the upstream shed a request.
const OVERLOAD_BACKOFF_FACTOR: f64 = 0.5;
/// Increase of the limit for each answer without a sign of overload.
const INCREASE_PER_ANSWER: f64 = 0.5;
/// Multiple of the mean service time above which an answer without a report indicates overload.
const SLOW_ANSWER_FACTOR: f64 = 3.0;

/// Limit of this host's requests in flight, with additive increase and multiplicative decrease.
///
/// Entry hosts adjust their limits independently: where upstreams report long queues, all hosts
/// converge to an even share; a single host reaches all the slots.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limit {
    value: f64,
    slots: f64,
    /// Mean of the reported queue lengths, exponentially weighted.
    queue: f64,
    reported_at: Moment,
}

impl Limit {
    /// A limit that starts at an even share of `slots` among `hosts`, but at least at 1.
    pub(crate) fn new(slots: u32, hosts: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            value: (slots / f64::from(hosts.max(1))).max(1.0),
            slots,
            queue: 0.0,
            reported_at: 0.0,
        }
    }

    /// Changes the number of slots and keeps the limit, up to the new number.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        self.value = self.value.min(self.slots);
    }

    /// Requests of this host that may be in flight at once; at least 1.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Records a report; a mean queue of up to `queue_percent` of the slots is no overload.
    pub(crate) fn reported(&mut self, now: Moment, report: Report, queue_percent: u32) {
        let kept = decay(now - self.reported_at, QUEUE_DECAY_S);
        let queued = f64::from(report.queued);
        self.queue = lerp(queued, self.queue, kept);
        self.reported_at = now;
        if self.queue > self.slots * f64::from(queue_percent) / 100.0 {
            self.shrink(QUEUE_BACKOFF_FACTOR);
        } else {
            self.grow();
        }
    }

    /// Records an answer without a report that took `slowness` times the mean service time.
    pub(crate) fn answered(&mut self, slowness: f64) {
        if slowness > SLOW_ANSWER_FACTOR {
            self.shrink(QUEUE_BACKOFF_FACTOR);
        } else {
            self.grow();
        }
    }

    /// Records that the upstream shed a request.
    pub(crate) fn overloaded(&mut self) {
        self.shrink(OVERLOAD_BACKOFF_FACTOR);
    }

    fn grow(&mut self) {
        self.value = (self.value + INCREASE_PER_ANSWER).min(self.slots);
    }

    fn shrink(&mut self, factor: f64) {
        self.value = (self.value * factor).max(1.0);
    }
}

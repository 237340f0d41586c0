//! The limit of own requests in flight to an upstream.

use crate::{
    Report,
    moment::{Moment, blend, fade},
};

/// Time constant of the mean of reported queues, in seconds: a flood lasts, a noisy neighbour's
/// queue mostly does not.
const QUEUE_MEMORY_S: f64 = 2.0;
/// Share of the limit that remains after an upstream reported a long queue.
const QUEUE_BACKOFF: f64 = 0.8;
/// Share of the limit that remains after an upstream shed a request.
const OVERLOAD_BACKOFF: f64 = 0.5;
/// Growth of the limit for an answer with room to spare.
const GROWTH: f64 = 0.5;
/// Multiple of the usual service time from which an answer without a report speaks of overload.
const SLOW_ANSWER: f64 = 3.0;

/// Limit of own requests in flight, which grows additively and shrinks multiplicatively.
///
/// Each entry host probes for room by itself: where upstreams report long queues, all hosts
/// shrink towards an even share; a lone host grows to all the slots.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limit {
    value: f64,
    slots: f64,
    /// Mean of the reported queues, newer ones more.
    queue: f64,
    reported_at: Moment,
}

impl Limit {
    /// A limit that starts at an even share of `slots` among `hosts`, and at least at 1.
    pub(crate) fn new(slots: u32, hosts: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            value: (slots / f64::from(hosts.max(1))).max(1.0),
            slots,
            queue: 0.0,
            reported_at: 0.0,
        }
    }

    /// Changes the slots and keeps what was learnt.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        self.value = self.value.min(self.slots);
    }

    /// Own requests that may be in flight at once; at least 1.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Takes in a report; a lasting queue of up to `queue_percent` of the slots is usual.
    pub(crate) fn reported(&mut self, now: Moment, report: Report, queue_percent: u32) {
        let kept = fade(now - self.reported_at, QUEUE_MEMORY_S);
        let queued = f64::from(report.queued);
        self.queue = blend(queued, self.queue, kept);
        self.reported_at = now;
        if self.queue > self.slots * f64::from(queue_percent) / 100.0 {
            self.scale(QUEUE_BACKOFF);
        } else {
            self.grow();
        }
    }

    /// Takes in an answer without a report, of `slowness` times the usual service time.
    pub(crate) fn answered(&mut self, slowness: f64) {
        if slowness > SLOW_ANSWER {
            self.scale(QUEUE_BACKOFF);
        } else {
            self.grow();
        }
    }

    /// Takes in that the upstream shed a request.
    pub(crate) fn overloaded(&mut self) {
        self.scale(OVERLOAD_BACKOFF);
    }

    fn grow(&mut self) {
        self.value = (self.value + GROWTH).min(self.slots);
    }

    fn scale(&mut self, share: f64) {
        self.value = (self.value * share).max(1.0);
    }
}

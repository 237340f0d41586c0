//! The state of one order at the incarnation that may dispatch it.

use std::time::Instant;

use crate::{Fingerprint, Outcome, Ticket};

/// Progress of an order. Only [`Phase::Ready`] leads to a dispatch. It is entered once, unless a
/// dispatch ends before anything was sent, which returns the order to it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Phase {
    /// The order waits for its append.
    Queued,
    /// The order is part of an append, and its record has not been read back yet.
    Appended,
    /// The order may be dispatched.
    Ready,
    /// A dispatch has been permitted.
    Dispatched,
    /// The order has its final outcome.
    Finished(Outcome),
}

/// A request that waits for the outcome of an order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Waiter {
    pub(crate) ticket: Ticket,
    pub(crate) deadline: Instant,
}

/// One order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Entry {
    pub(crate) fingerprint: Fingerprint,
    /// The request that executes the order once it is ready.
    pub(crate) runner: Waiter,
    pub(crate) phase: Phase,
    /// Waiting repeats.
    pub(crate) waiters: Vec<Waiter>,
}

impl Entry {
    /// Whether the order still waits for its record in the log.
    pub(crate) fn is_waiting_for_log(&self) -> bool {
        matches!(self.phase, Phase::Queued | Phase::Appended)
    }

    pub(crate) fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Finished(_))
    }

    /// Removes and returns every request that waits for an answer of the engine. The
    /// request that executes the order is included only while the order waits for the log.
    pub(crate) fn take_waiters(&mut self) -> Vec<Waiter> {
        let mut res = std::mem::take(&mut self.waiters);
        if self.is_waiting_for_log() {
            res.push(self.runner);
        }
        res
    }
}

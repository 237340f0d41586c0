//! The state of one order at the incarnation that may dispatch it.

use std::time::Instant;

use crate::{Fingerprint, Outcome, Ticket};

/// How far an order has come. Only [`Phase::Ready`] leads to a dispatch, and it is entered once,
/// except that a dispatch of which nothing was sent returns to it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Phase {
    /// Waits to be appended.
    Queued,
    /// Appended, and not read back yet.
    Appended,
    /// May be dispatched.
    Ready,
    /// Was permitted to be dispatched.
    Dispatched,
    /// Has come to an outcome, for good.
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
    /// The request that runs the order once it is ready.
    pub(crate) runner: Waiter,
    pub(crate) phase: Phase,
    /// Repeats that wait.
    pub(crate) waiters: Vec<Waiter>,
}

impl Entry {
    /// Whether the order still waits for the log.
    pub(crate) fn is_waiting_for_log(&self) -> bool {
        matches!(self.phase, Phase::Queued | Phase::Appended)
    }

    /// Whether the order has come to an outcome.
    pub(crate) fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Finished(_))
    }

    /// Removes and returns every request that waits for an answer of the engine. A request whose
    /// order is ready or dispatched runs it, and doesn't wait.
    pub(crate) fn take_waiters(&mut self) -> Vec<Waiter> {
        let mut res = std::mem::take(&mut self.waiters);
        if self.is_waiting_for_log() {
            res.push(self.runner);
        }
        res
    }
}

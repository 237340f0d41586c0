//! A request in progress at an entry host.

use std::time::Instant;

use balance::{Dispatch, UpstreamId};
use order::Ticket;

use crate::matrix::message::{AttemptId, Call, Endpoint};

/// The receiver of the reply.
#[derive(Clone, Copy, Debug)]
pub(super) enum Origin {
    Caller,
    Peer { host: Endpoint, ticket: Ticket },
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct PendingAttempt {
    pub(super) dispatch: Dispatch,
    pub(super) attempt: AttemptId,
    pub(super) backend: usize,
    pub(super) since: Instant,
    pub(super) is_sent: bool,
}

/// A request in progress.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) call: Call,
    pub(super) origin: Origin,
    /// Whether the request has been offered to the gate. An order is offered when the
    /// engine starts it.
    pub(super) is_running: bool,
    pub(super) tried: Vec<UpstreamId>,
    pub(super) pending: Option<PendingAttempt>,
    /// Whether an earlier attempt may have reached a backend server's handler.
    pub(super) may_have_run: bool,
}

impl Task {
    pub(super) fn new(call: Call, origin: Origin) -> Self {
        Self {
            call,
            origin,
            is_running: false,
            tried: Vec::new(),
            pending: None,
            may_have_run: false,
        }
    }
}

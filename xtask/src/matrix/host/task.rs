//! A request in progress at an entry host.

use std::time::Instant;

use balance::{Dispatch, UpstreamId};
use order::Ticket;

use crate::matrix::message::{Attempt, Call, Node};

/// Who waits for the reply.
#[derive(Clone, Copy, Debug)]
pub(super) enum Origin {
    Caller,
    Peer { host: Node, ticket: Ticket },
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) dispatch: Dispatch,
    pub(super) attempt: Attempt,
    pub(super) backend: usize,
    pub(super) since: Instant,
    pub(super) is_sent: bool,
}

/// A request in progress.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) call: Call,
    pub(super) origin: Origin,
    /// Whether the request waits for a slot or holds one, and runs its order if it has a key.
    pub(super) is_running: bool,
    pub(super) tried: Vec<UpstreamId>,
    pub(super) flight: Option<Flight>,
    /// Whether an earlier attempt may have reached a handler.
    pub(super) may_have_run: bool,
}

impl Task {
    pub(super) fn new(call: Call, origin: Origin) -> Self {
        Self {
            call,
            origin,
            is_running: false,
            tried: Vec::new(),
            flight: None,
            may_have_run: false,
        }
    }
}

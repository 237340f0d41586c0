//! Answers of this daemon to its peers.

use std::sync::Arc;

use bytes::Bytes;
use order::Outcome;
use peer::Handler;

use crate::{
    membership::Membership,
    orders::{self, Message},
    state::State,
};

/// Answers calls of peers.
pub struct Responder {
    state: Arc<State>,
    membership: Arc<Membership>,
}

impl Responder {
    /// Creates a responder over the state of a daemon.
    #[must_use]
    pub fn new(state: Arc<State>, membership: Arc<Membership>) -> Self {
        Self { state, membership }
    }
}

impl Handler for Responder {
    type Order = Message;
    type Outcome = Outcome;

    fn heartbeat(&self, exchange: &member::Exchange) -> member::Result<member::Exchange> {
        self.membership.table().receive(exchange, self.state.clock.now())
    }

    fn configuration(&self, newer_than: u64) -> Option<Bytes> {
        self.state.snapshot_newer_than(newer_than)
    }

    async fn forward(&self, order: Message) -> Outcome {
        orders::answer_peer(&self.state, order).await
    }
}

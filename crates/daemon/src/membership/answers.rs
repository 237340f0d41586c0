//! What this daemon answers its peers.

use std::sync::Arc;

use bytes::Bytes;
use order::Outcome;
use peer::Handler;

use crate::{
    membership::Membership,
    orders::{self, Message},
    state::State,
};

/// What this daemon answers its peers.
pub struct Answers {
    state: Arc<State>,
    membership: Arc<Membership>,
}

impl Answers {
    /// Answers from the state of a daemon.
    #[must_use]
    pub fn new(state: Arc<State>, membership: Arc<Membership>) -> Self {
        Self { state, membership }
    }
}

impl Handler for Answers {
    type Order = Message;
    type Outcome = Outcome;

    fn heartbeat(&self, exchange: &member::Exchange) -> member::Result<member::Exchange> {
        self.membership.table().receive(exchange, self.state.clock.now())
    }

    fn configuration(&self, newer_than: u64) -> Option<Bytes> {
        self.state.snapshot_beyond(newer_than)
    }

    async fn forward(&self, order: Message) -> Outcome {
        orders::answer_peer(&self.state, order).await
    }
}

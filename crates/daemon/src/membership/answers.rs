//! What this daemon answers its peers.

use std::sync::Arc;

use bytes::Bytes;
use peer::{Blob, Handler};

use crate::{membership::Membership, state::State};

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
    type Order = Blob;
    type Outcome = Blob;

    fn heartbeat(&self, exchange: &member::Exchange) -> member::Result<member::Exchange> {
        self.membership.table().receive(exchange, self.state.clock.now())
    }

    fn configuration(&self, newer_than: u64) -> Option<Bytes> {
        self.state.snapshot_beyond(newer_than)
    }

    /// An empty outcome says that nothing was started here.
    async fn forward(&self, _order: Blob) -> Blob {
        Blob::default()
    }
}

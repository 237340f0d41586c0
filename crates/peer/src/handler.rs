//! What a daemon answers its peers.

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

/// What a daemon answers its peers.
pub trait Handler: Send + Sync + 'static {
    /// An order for the daemon that issued its session.
    type Order: DeserializeOwned + Send + 'static;
    /// What came of an order.
    type Outcome: Clone + Send + Serialize + 'static;

    /// Answers a heartbeat; must not block.
    ///
    /// # Errors
    ///
    /// Returns why the heartbeat is refused.
    fn heartbeat(&self, exchange: &member::Exchange) -> member::Result<member::Exchange>;

    /// A snapshot of the configuration whose log offset lies beyond `newer_than`; must not block.
    fn configuration(&self, newer_than: u64) -> Option<Bytes>;

    /// Runs an order, or repeats its outcome. It runs to its end even if the peer goes away.
    fn forward(&self, order: Self::Order) -> impl Future<Output = Self::Outcome> + Send;
}

//! Interface of the daemon that answers calls.

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

/// Answers calls of peers.
pub trait Handler: Send + Sync + 'static {
    /// An order, forwarded to the daemon that issued its session.
    type Order: DeserializeOwned + Send + 'static;
    /// Outcome of an order.
    type Outcome: Clone + Send + Serialize + 'static;

    /// Answers a heartbeat; must not block.
    ///
    /// # Errors
    ///
    /// Fails if the heartbeat is refused.
    fn heartbeat(&self, exchange: &member::Exchange) -> member::Result<member::Exchange>;

    /// Returns a snapshot of the configuration that reaches beyond `newer_than`; must not block.
    fn configuration(&self, newer_than: u64) -> Option<Bytes>;

    /// Runs an order, or returns its known outcome. The order is finished even if the peer
    /// disconnects.
    fn forward(&self, order: Self::Order) -> impl Future<Output = Self::Outcome> + Send;
}

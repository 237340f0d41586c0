//! What a peer knows about the newest configuration.

use crate::config::Version;

/// Id of a query about the newest configuration.
pub type QueryId = u64;

/// What a peer knows about the newest configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ConfigReply {
    /// Id of the query.
    pub query: QueryId,
    /// Version in force at the peer.
    pub version: Version,
    /// Milliseconds since the latest moment at which, as the peer knows, nothing newer existed, if there
    /// is one.
    pub age_ms: Option<u32>,
}

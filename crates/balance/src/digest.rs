//! The load that an entry host causes, as sent to its peers.

use crate::UpstreamId;

/// One upstream in a digest.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Entry {
    /// Upstream that the entry is about.
    pub upstream: UpstreamId,
    /// The sender's requests in flight to it.
    pub in_flight: u32,
}

/// Load that one entry host causes, by upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Digest {
    /// Upstreams with requests in flight.
    pub entries: Vec<Entry>,
}

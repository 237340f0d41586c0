//! What an entry host tells its peers about the load that it causes.

use crate::UpstreamId;

/// One upstream in a digest.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Entry {
    /// Upstream that the entry is about.
    pub upstream: UpstreamId,
    /// The teller's requests in flight to it.
    pub in_flight: u32,
}

/// Load that one entry host causes, by upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Digest {
    /// Upstreams with requests in flight.
    pub entries: Vec<Entry>,
}

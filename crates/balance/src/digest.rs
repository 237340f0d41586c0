//! What an entry host tells its peers about the load that it causes.

use std::time::Duration;

use crate::UpstreamId;

/// One upstream in a digest.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Entry {
    /// Upstream that the entry is about.
    pub upstream: UpstreamId,
    /// The teller's requests in flight to it.
    pub in_flight: u32,
    /// The teller's estimate of the time that the upstream works on a request.
    pub service_time: Duration,
}

/// Load that one entry host causes, by upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Digest {
    /// Upstreams with requests in flight or an unusual service time.
    pub entries: Vec<Entry>,
}

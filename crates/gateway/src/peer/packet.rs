//! Datagrams between daemons.

use std::net::SocketAddr;

use super::{Capacity, Phase};
use crate::{
    config::Version,
    load::{HostKey, Report},
    platform::Offset,
    registry::{Change, Domain, Key},
};

/// One datagram.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Packet {
    /// A sign of life.
    Beat(Beat),
    /// Requests in flight and reports of upstreams' loads.
    Loads(HostKey, Vec<Load>),
    /// What the sender has read from the store.
    Relay(Relay),
}

/// A sign of life, with what the sender knows.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Beat {
    /// Key of the sender's incarnation.
    pub key: HostKey,
    /// Name of the sender's host.
    pub host: String,
    /// Failure domain of the sender.
    pub domain: Domain,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Whether the sender serves callers.
    pub phase: Phase,
    /// What the sender's host can do, and how much of it is in use.
    pub capacity: Capacity,
    /// Whether callers send it more than single requests.
    pub is_active: bool,
    /// Version of the sender's configuration; 0 if it has none.
    pub config: Version,
    /// Milliseconds since the sender last heard from the store that this is the newest; none if it
    /// never has.
    pub config_checked_ms: Option<u32>,
    /// Offset up to which the sender knows the registry.
    pub registry_end: Offset,
    /// Hash of the registry as the sender knows it.
    pub registry_digest: u32,
    /// Some of the peers that the sender knows.
    pub peers: Vec<SocketAddr>,
    /// Whether the sender asks for a beat in return.
    pub asks: bool,
}

/// Load of one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Load {
    /// Hash of the upstream's id.
    pub upstream: Key,
    /// Requests that the sender has in flight there.
    pub in_flight: u32,
    /// Newest report that the sender was given, and its age in milliseconds.
    pub report: Option<(Report, u32)>,
}

/// Changes of the registry that the sender has read from the store.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Relay {
    /// Offset of the first record that the changes stand for.
    pub from: Offset,
    /// Offset behind the last one.
    pub to: Offset,
    /// What changed between the two.
    pub changes: Vec<Change>,
}

impl Relay {
    /// Parts of at most `count` changes, to be sent in this order.
    ///
    /// Each change stands for a record at least, so each part but the last can stand for as many
    /// offsets as it has changes. Whoever misses a part sees a gap before the next one, and finds all
    /// that was missed by reading from its own end.
    #[must_use]
    pub fn split(self, count: usize) -> Vec<Self> {
        let Self { from, to, changes } = self;
        let parts = changes.len().div_ceil(count).max(1);
        let mut res = Vec::with_capacity(parts);
        let mut start = from;
        for (number, part) in changes.chunks(count.max(1)).enumerate() {
            let next = start + part.len() as Offset;
            let end = if number + 1 == parts { to } else { next.min(to) };
            res.push(Self { from: start, to: end, changes: part.to_vec() });
            start = end;
        }
        if res.is_empty() {
            res.push(Self { from, to, changes });
        }
        res
    }
}

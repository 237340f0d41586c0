//! Datagrams between daemons.

use std::net::SocketAddr;

use super::{Capacity, ConfigReply, Phase, QueryId, TenantDemands};
use crate::{
    config::Version,
    load::{HostKey, Report},
    platform::{Era, Offset},
    registry::{Change, Domain, Evacuations, Key, UpstreamId},
};

/// A datagram.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Packet {
    /// A heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Requests in flight at upstreams and load reports of upstreams.
    Loads(HostKey, Vec<Load>),
    /// Registry changes that the sender has read from the store.
    Relay(Relay),
    /// Upstreams that have said in their answers that they are leaving.
    Departures(Vec<Departure>),
    /// What upstreams have said in health answers about their slow starts.
    Temperatures(Vec<Temperature>),
    /// Requests of tenants with quotas.
    Demand(TenantDemands),
    /// Asks what the receiver knows about the newest configuration.
    ConfigQuery(QueryId),
    /// Reply to a query about the newest configuration.
    ConfigReply(ConfigReply),
}

/// What an upstream has said in a health answer about its slow start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Temperature {
    /// Hash of the upstream's id.
    pub upstream: Key,
    /// Time for which it is still cold, in milliseconds; 0 if it is warm.
    pub cold_ms: u32,
}

/// That an incarnation of an upstream is leaving.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Departure {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Unix time of its start in milliseconds.
    pub born_ms: u64,
}

/// A heartbeat with the sender's state.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Heartbeat {
    /// Key of the sender's incarnation.
    pub key: HostKey,
    /// Name of the sender's host.
    pub host: String,
    /// Failure domain of the sender.
    pub domain: Domain,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Lifecycle phase of the sender.
    pub phase: Phase,
    /// Capacity of the sender's host and how much of it is in use.
    pub capacity: Capacity,
    /// Whether callers send it more than single requests.
    pub is_active: bool,
    /// Version of the sender's configuration; 0 if it has none.
    pub config: Version,
    /// Milliseconds since the store last confirmed to the sender which configuration is the newest,
    /// if it ever has.
    pub config_checked_ms: Option<u32>,
    /// Evacuated failure domains as known to the sender.
    pub evacuations: Evacuations,
    /// Era of the store in which the sender has read the registry.
    pub registry_era: Era,
    /// Offset up to which the sender has read the registry.
    pub registry_end: Offset,
    /// Digest of the sender's registry.
    pub registry_digest: u32,
    /// Some of the peers known to the sender.
    pub peers: Vec<SocketAddr>,
    /// Whether the sender requests a heartbeat in reply.
    #[serde(rename = "asks")]
    pub wants_reply: bool,
}

/// Load of one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Load {
    /// Hash of the upstream's id.
    pub upstream: Key,
    /// Requests that the sender has in flight there.
    pub in_flight: u32,
    /// Last report that the upstream sent to the sender, and its age in milliseconds.
    pub report: Option<(Report, u32)>,
}

/// Registry changes that the sender has read from the store.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Relay {
    /// Era of the store in which the offsets hold.
    pub era: Era,
    /// Offset of the first record covered by the changes.
    pub from: Offset,
    /// Offset after the last record covered.
    pub to: Offset,
    /// Whether the sender applies removals when it reads them. Otherwise the store has failed calls
    /// and answers again, and entries may have expired only because of that.
    pub is_trusted: bool,
    /// Changes with the offsets of their records.
    pub changes: Vec<(Offset, Change)>,
}

impl Relay {
    /// Splits the relay into parts of at most `count` changes, to be sent in this order.
    ///
    /// Each part but the last covers the records up to that of its last change. A receiver that
    /// misses a part sees a gap before the next one and reads the store from its own end, which
    /// covers everything missed.
    #[must_use]
    pub fn split(self, count: usize) -> Vec<Self> {
        let Self { era, from, to, is_trusted, changes } = self;
        let mut res = Vec::new();
        let mut start = from;
        let mut parts = changes.chunks(count.max(1)).peekable();
        while let Some(part) = parts.next() {
            let is_last = parts.peek().is_none();
            let end = part.last().map_or(to, |(offset, _)| (offset + 1).clamp(start, to));
            let end = if is_last { to } else { end };
            res.push(Self { era, from: start, to: end, is_trusted, changes: part.to_vec() });
            start = end;
        }
        if res.is_empty() {
            res.push(Self { era, from, to, is_trusted, changes });
        }
        res
    }
}

//! What a daemon tells operators about itself.

use std::net::SocketAddr;

use document::{Offset, Version, replica};
use member::Phase;
use serde::Serialize;

/// What a daemon tells operators about itself.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Random id of this start of the daemon.
    pub incarnation: String,
    /// Where the daemon stands in its life.
    pub phase: Phase,
    /// Version of the configuration in force; none before the first.
    pub version: Option<Version>,
    /// How the daemon follows the configuration in the log.
    pub configuration: replica::State,
    /// First offset of the configuration's stream that was not read yet.
    pub read_to: Offset,
    /// Digest of the document in force; hosts with the same version have the same.
    pub document_digest: String,
    /// Requests of callers in progress.
    pub in_progress: usize,
    /// Decisions whose log lines were dropped because the log was slow.
    pub decisions_dropped: u64,
    /// Other entry hosts.
    pub peers: Vec<Peer>,
    /// Services with their load.
    pub services: Vec<Service>,
}

/// An entry host, as the command line needs to know it.
#[derive(Clone, Debug, Serialize)]
pub struct Host {
    /// Address for operators.
    pub admin_address: SocketAddr,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// Another entry host, as this one sees it.
#[derive(Clone, Debug, Serialize)]
pub struct Peer {
    /// Address for peers.
    pub address: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for callers.
    pub entry: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Random id of its start.
    pub incarnation: String,
    /// Where it stands in its life.
    pub phase: Phase,
    /// Whether it has not been heard of for long.
    pub suspected: bool,
}

/// Load of one service on one host.
#[derive(Clone, Debug, Serialize)]
pub struct Service {
    /// Name of the service.
    pub id: String,
    /// Slots that this host may use.
    pub capacity: u32,
    /// Upstreams that are ejected.
    pub ejected: usize,
    /// Load probes sent since the start.
    pub probes: u64,
    /// Load of the service on another entry host, as a mean of those that told theirs of late.
    pub elsewhere: Elsewhere,
    /// Ranks, first served first.
    pub ranks: Vec<Rank>,
}

/// Load of one service on another host.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Elsewhere {
    /// Hosts that the means rest on.
    pub hosts: u32,
    /// Mean of the requests that hold a slot.
    pub in_flight: f64,
    /// Mean of the requests that wait for one.
    pub queued: f64,
}

/// Load of one rank of a service on one host.
#[derive(Clone, Debug, Serialize)]
pub struct Rank {
    /// Name of the rank.
    pub id: String,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Requests that hold a slot.
    pub in_flight: u32,
    /// Requests that were given a slot.
    pub admitted: u64,
    /// Requests that were refused, displaced or expired.
    pub refused: u64,
}

impl From<&admission::Lane> for Rank {
    fn from(it: &admission::Lane) -> Self {
        let counts = it.counts;
        Self {
            id: it.rank.to_string(),
            queued: it.queued,
            in_flight: it.in_flight,
            admitted: counts.admitted,
            refused: counts.refused_deadline
                + counts.refused_full
                + counts.displaced
                + counts.expired,
        }
    }
}

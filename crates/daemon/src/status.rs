//! Status pages for operators.

use std::net::SocketAddr;

use document::{Offset, Version, replica};
use member::Phase;
use serde::Serialize;

/// Status of a daemon.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Random id of this run of the daemon.
    pub incarnation: String,
    /// Phase of the daemon's lifecycle.
    pub phase: Phase,
    /// Version of the configuration in force; `None` before the first.
    pub version: Option<Version>,
    /// State of the configuration's replica.
    pub configuration: replica::State,
    /// First offset of the configuration's stream that was not read.
    pub read_to: Offset,
    /// Digest of the document in force, equal on all hosts with the same version.
    pub document_digest: String,
    /// Number of requests in progress.
    pub in_progress: usize,
    /// Number of decisions whose log lines were dropped because the log was slow.
    pub decisions_dropped: u64,
    /// Other entry hosts.
    pub peers: Vec<Peer>,
    /// Services with their load.
    pub services: Vec<Service>,
}

/// An entry host, for the command line.
#[derive(Clone, Debug, Serialize)]
pub struct Host {
    /// Address for operators.
    pub admin_address: SocketAddr,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// Another entry host, according to this one.
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
    /// Random id of its current run.
    pub incarnation: String,
    /// Phase of its lifecycle.
    pub phase: Phase,
    /// Whether its heartbeats are overdue.
    pub suspected: bool,
}

/// Load of one service on one host.
#[derive(Clone, Debug, Serialize)]
pub struct Service {
    /// Name of the service.
    pub id: String,
    /// Number of slots that this host may use.
    pub capacity: u32,
    /// Number of ejected upstreams.
    pub ejected: usize,
    /// Number of load probes sent since the start.
    pub probes: u64,
    /// Mean load of the service on the other entry hosts that reported theirs recently.
    pub elsewhere: PeerLoad,
    /// Ranks, first served first.
    pub ranks: Vec<Rank>,
}

/// Mean load of one service on other entry hosts.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct PeerLoad {
    /// Number of hosts in the means.
    pub hosts: u32,
    /// Mean number of requests that hold a slot.
    pub in_flight: f64,
    /// Mean number of queued requests.
    pub queued: f64,
}

/// Load of one rank of a service on one host.
#[derive(Clone, Debug, Serialize)]
pub struct Rank {
    /// Name of the rank.
    pub id: String,
    /// Number of queued requests.
    pub queued: usize,
    /// Number of requests that hold a slot.
    pub in_flight: u32,
    /// Number of admitted requests.
    pub admitted: u64,
    /// Number of requests that were refused, displaced or expired.
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

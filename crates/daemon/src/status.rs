//! What a daemon tells operators about itself.

use document::{Offset, Version, replica};
use serde::{Deserialize, Serialize};

/// What a daemon tells operators about itself.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Random id of this start of the daemon.
    pub incarnation: String,
    /// Version of the configuration in force; none before the first.
    pub version: Option<Version>,
    /// How the daemon follows the configuration in the log.
    pub configuration: replica::State,
    /// First offset of the configuration's stream that was not read yet.
    pub read_to: Offset,
    /// Decisions whose log lines were dropped because the log was slow.
    pub decisions_dropped: u64,
    /// Services with their load.
    pub services: Vec<Service>,
}

/// Load of one service on one host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Service {
    /// Name of the service.
    pub id: String,
    /// Slots that this host may use.
    pub capacity: u32,
    /// Upstreams that are ejected.
    pub ejected: usize,
    /// Load probes sent since the start.
    pub probes: u64,
    /// Ranks, first served first.
    pub ranks: Vec<Rank>,
}

/// Load of one rank of a service on one host.
#[derive(Clone, Debug, Deserialize, Serialize)]
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

//! The state of a gate, for status pages and metrics.

use crate::RankId;

/// Requests by how they ended, since the gate was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Given a slot, immediately or after a wait.
    pub admitted: u64,
    /// Refused because the answer would have come too late.
    pub refused_deadline: u64,
    /// Refused because the queue was full.
    pub refused_full: u64,
    /// Displaced from the queue by a caller with fewer waiting requests.
    pub displaced: u64,
    /// Expired in the queue.
    pub expired: u64,
    /// Cancelled while waiting.
    pub cancelled: u64,
}

/// The state of one rank.
#[derive(Clone, Debug, PartialEq)]
pub struct Lane {
    /// The rank.
    pub rank: RankId,
    /// Guaranteed slots; a fraction is guaranteed on average over time.
    pub floor_slots: f64,
    /// Waiting requests.
    pub queued: usize,
    /// Requests that hold a slot.
    pub in_flight: u32,
    /// Counts of earlier requests.
    pub counts: Counts,
}

/// The state of a gate.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Total number of slots.
    pub capacity: u32,
    /// Ranks, in the order of service.
    pub lanes: Vec<Lane>,
}

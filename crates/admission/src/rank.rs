//! A rank of requests.

use crate::RankId;

/// A rank of requests, with the share of slots that is guaranteed to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rank {
    /// Name of the rank.
    pub id: RankId,
    /// Position in the order of service; 0 is served first.
    pub order: u8,
    /// Guaranteed share of the slots, in percent.
    pub floor_percent: u8,
}

//! A rank of work.

use crate::RankId;

/// A rank of work and the share of slots that no other rank can take from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rank {
    /// Name of the rank.
    pub id: RankId,
    /// Place in the order of service; 0 is served first.
    pub order: u8,
    /// Guaranteed share of the slots, in percent.
    pub floor_percent: u8,
}

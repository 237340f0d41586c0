//! A rank of work.

use crate::RankId;

/// A rank of work: which requests are served first, and what no flood may take from it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Rank {
    /// Name of the rank.
    pub id: RankId,
    /// Place in the order of service; 0 is served first.
    pub order: u8,
    /// Share of each service's slots that no other rank can take, in percent.
    pub floor_percent: u8,
}

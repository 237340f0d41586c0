//! A rank of work.

use ini::Keys;

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

/// Last place in the order of service.
const MAX_ORDER: u8 = 9;

impl Rank {
    pub(crate) fn read(id: RankId, keys: &mut Keys<'_>) -> Self {
        keys.require(&["order"]);
        let order = keys.number("order", 0..=MAX_ORDER, "places").unwrap_or_default();
        let floor_percent = keys.number("floor_percent", 0..=100, "percent").unwrap_or_default();
        Self { id, order, floor_percent }
    }
}

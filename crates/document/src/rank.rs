//! A priority rank of requests.

use ini::Keys;

use crate::RankId;

/// A priority rank of requests, with the share of slots that is reserved for it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Rank {
    /// Name of the rank.
    pub id: RankId,
    /// Priority; 0 is served first.
    pub order: u8,
    /// Share of each service's slots that is reserved for this rank, in percent.
    pub floor_percent: u8,
}

/// Largest value of `order`, the lowest priority.
const MAX_ORDER: u8 = 9;

impl Rank {
    pub(crate) fn read(id: RankId, keys: &mut Keys<'_>) -> Self {
        keys.require(&["order"]);
        let order = keys.number("order", 0..=MAX_ORDER, "places").unwrap_or_default();
        let floor_percent = keys.number("floor_percent", 0..=100, "percent").unwrap_or_default();
        Self { id, order, floor_percent }
    }
}

//! Removal of an upstream's entry.

use super::{Revision, UpstreamId};

/// Removal of an upstream's entry.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Removal {
    /// The upstream.
    pub id: UpstreamId,
    /// The newest revision of the entry before it was removed, as far as it is known. The record of a
    /// removal has none.
    pub revision: Revision,
}

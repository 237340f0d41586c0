//! What a daemon tells of itself.

use crate::{Identity, Phase, Sequence, Version};

/// What a daemon tells of itself.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Digest {
    /// Who it is.
    pub identity: Identity,
    /// Where it stands in its life.
    pub phase: Phase,
    /// Count of its heartbeats.
    pub sequence: Sequence,
    /// Version that it has in force.
    pub version: Version,
}

//! The state that a daemon reports of itself.

use crate::{Identity, Phase, Sequence, Version};

/// The state that a daemon reports of itself.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Digest {
    /// Identity of the daemon.
    pub identity: Identity,
    /// Phase of its life cycle.
    pub phase: Phase,
    /// Sequence number of the message.
    pub sequence: Sequence,
    /// Configuration version that it has in force.
    pub version: Version,
}

//! What a daemon tells of another one.

use crate::{Address, Incarnation, Phase, Sequence, Version};

/// What a daemon tells of another one; it travels as a sequence of values to stay short.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Rumor {
    /// Address of the other daemon for peers.
    pub address: Address,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it stood in its life.
    pub phase: Phase,
    /// Latest count of its heartbeats that is known.
    pub sequence: Sequence,
    /// Version that it had in force.
    pub version: Version,
    /// Time since the heartbeat left it, in milliseconds.
    pub age_ms: u64,
}

type Wire = (Address, Incarnation, Phase, Sequence, Version, u64);

impl From<Wire> for Rumor {
    fn from((address, incarnation, phase, sequence, version, age_ms): Wire) -> Self {
        Self { address, incarnation, phase, sequence, version, age_ms }
    }
}

impl From<Rumor> for Wire {
    fn from(it: Rumor) -> Self {
        (it.address, it.incarnation, it.phase, it.sequence, it.version, it.age_ms)
    }
}

//! What a daemon tells of another one.

use crate::{Address, Incarnation, Phase, Sequence, Version};

/// Last 32 bits of an incarnation: enough to tell the lives of one host apart, and short.
pub type Tag = u32;

/// What a daemon tells of another one; it travels as a sequence of values to stay short.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Rumor {
    /// Address of the other daemon for peers.
    pub address: Address,
    /// Its life.
    pub tag: Tag,
    /// Where it stood in its life.
    pub phase: Phase,
    /// Latest count of its heartbeats that is known.
    pub sequence: Sequence,
    /// Version that it had in force.
    pub version: Version,
    /// Time since the heartbeat left it, in milliseconds.
    pub age_ms: u64,
}

/// The tag of an incarnation.
pub(crate) fn tag(incarnation: Incarnation) -> Tag {
    let [a, b, c, d, ..] = incarnation.to_le_bytes();
    Tag::from_le_bytes([a, b, c, d])
}

type Wire = (Address, Tag, u8, Sequence, Version, u64);

impl From<Wire> for Rumor {
    fn from((address, tag, phase, sequence, version, age_ms): Wire) -> Self {
        Self { address, tag, phase: Phase::from_rank(phase), sequence, version, age_ms }
    }
}

impl From<Rumor> for Wire {
    fn from(it: Rumor) -> Self {
        (it.address, it.tag, it.phase as u8, it.sequence, it.version, it.age_ms)
    }
}

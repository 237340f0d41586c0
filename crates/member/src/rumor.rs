//! Reports of a daemon on another one.

use crate::{Address, Incarnation, Phase, Sequence, Version};

/// Low 32 bits of an incarnation, enough to distinguish the incarnations of one host.
pub type Tag = u32;

/// Report of a daemon on another one; serialized as a tuple to save space.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Rumor {
    /// Address of the other daemon for peers.
    pub address: Address,
    /// Tag of its incarnation.
    pub tag: Tag,
    /// Phase of its life cycle.
    pub phase: Phase,
    /// Highest known sequence number of its messages.
    pub sequence: Sequence,
    /// Configuration version that it had in force.
    pub version: Version,
    /// Time since it sent that message, in milliseconds.
    pub age_ms: u64,
}

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

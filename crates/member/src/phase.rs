//! Phase of a daemon's life cycle, as reported to peers.

/// Phase of a daemon's life cycle, in the order of the life cycle.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The daemon has no configuration yet.
    #[default]
    Starting,
    /// The daemon serves requests.
    Ready,
    /// The daemon finishes its work and accepts no new requests.
    Leaving,
}

impl Phase {
    /// The phase with this rank. A rank unknown to this release counts as leaving.
    pub(crate) fn from_rank(rank: u8) -> Self {
        match rank {
            0 => Self::Starting,
            1 => Self::Ready,
            _ => Self::Leaving,
        }
    }
}

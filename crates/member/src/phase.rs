//! What a daemon says of itself.

/// What a daemon says of itself; the order is the order of its life.
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
    /// It has no configuration yet.
    #[default]
    Starting,
    /// It serves.
    Ready,
    /// It finishes its work and takes nothing new.
    Leaving,
}

impl Phase {
    /// The phase with this place in the order; a later one than is known here is a kind of leaving.
    pub(crate) fn from_rank(rank: u8) -> Self {
        match rank {
            0 => Self::Starting,
            1 => Self::Ready,
            _ => Self::Leaving,
        }
    }
}

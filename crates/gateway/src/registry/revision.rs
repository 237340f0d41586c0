//! Age of what an upstream has written about itself.

/// Age of what an upstream has written about itself; the greater of two is the newer.
///
/// The store may execute a write without an answer seconds later, behind newer ones, so the order of
/// the records does not tell which is newer.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
pub struct Revision {
    /// Unix time of the upstream's start in milliseconds; 0 if unknown.
    pub born_ms: u64,
    /// Number of the write, counted from each start.
    pub seq: u64,
}

impl Revision {
    /// Whether something newer is known. Without the time of the start, a lower number may be that of
    /// a new start.
    #[must_use]
    pub fn is_outdated(self, known: Self) -> bool {
        if self.born_ms == known.born_ms && self.born_ms == 0 {
            return false;
        }
        self < known
    }
}

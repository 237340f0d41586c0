//! How recently the document in force was known to be the newest.

use std::time::Duration;

use document::Version;

/// Age from which a confirmation no longer supports a final refusal: the time limit for putting an
/// accepted version in force on every host.
pub const MAX_AGE: Duration = Duration::from_secs(5);

/// A moment at which the log held nothing newer than a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Confirmation {
    /// Newest version at that moment; `None` if there was none.
    pub version: Option<Version>,
    /// Start of the read, in time since boot: a record may be appended while the answer is on its
    /// way.
    pub at: Duration,
}

impl Confirmation {
    /// Returns the time since the moment.
    #[must_use]
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.at)
    }

    /// Whether a final refusal may rest on the document of `version`, which may be newer than the
    /// confirmed one.
    #[must_use]
    pub fn covers(&self, version: Option<Version>, now: Duration) -> bool {
        version >= self.version && self.age(now) < MAX_AGE
    }
}

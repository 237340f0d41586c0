//! How much a daemon knows about which configuration is the newest.

/// How much a daemon knows about whether its configuration is the newest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Knowledge {
    /// It has no configuration.
    Missing,
    /// The newest configuration can't be read.
    Unreadable,
    /// A newer configuration exists that is not in force here.
    Behind,
    /// Nothing newer is known of, but the last confirmation is too old.
    Outdated,
    /// Within the time limit for applying a configuration, nothing newer existed.
    Recent,
}

impl Knowledge {
    /// Whether reading the newest configuration may help.
    #[must_use]
    pub fn is_unsure(self) -> bool {
        matches!(self, Self::Behind | Self::Outdated)
    }

    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Unreadable => "unreadable",
            Self::Behind => "behind",
            Self::Outdated => "outdated",
            Self::Recent => "recent",
        }
    }
}

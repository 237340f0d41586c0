//! What may be repeated.

/// Whether running a request twice does harm.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    #[default]
    NonIdempotent,
}

impl Kind {
    /// Whether the request may be sent again after an attempt that may have run.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        self == Self::Idempotent
    }
}

//! Idempotence of a route's requests.

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Idempotence {
    /// May run more than once.
    Idempotent,
    /// Runs at most once per attempt of the caller.
    #[default]
    NonIdempotent,
}

impl Idempotence {
    /// Whether the request may be resent after an attempt that may have run.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        self == Self::Idempotent
    }
}

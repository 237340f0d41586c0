//! A request that belongs to another incarnation.

use std::time::Instant;

use crate::{Fingerprint, Incarnation, Key};

/// What a request passed on waits for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Stage {
    /// The issuer's answer.
    Calling,
    /// The time of the next attempt.
    Pausing {
        /// When to try again.
        until: Instant,
    },
    /// The journal of the issuer, up to its revocation.
    Recovering,
}

/// A request that belongs to another incarnation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Forward {
    pub(crate) key: Key,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) deadline: Instant,
    pub(crate) to: Incarnation,
    pub(crate) stage: Stage,
}

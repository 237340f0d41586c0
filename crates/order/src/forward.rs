//! Requests whose order belongs to another incarnation.

use std::time::Instant;

use crate::{Fingerprint, Incarnation, Key};

/// What a forwarded request waits for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Stage {
    /// The issuer's answer.
    AwaitingReply,
    /// The time of the next attempt.
    Backoff {
        /// When to try again.
        until: Instant,
    },
    /// The issuer's journal to be read up to its revocation.
    Recovering,
}

/// A request whose order belongs to another incarnation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Forward {
    pub(crate) key: Key,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) deadline: Instant,
    pub(crate) to: Incarnation,
    pub(crate) stage: Stage,
}

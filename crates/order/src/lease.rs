//! A session as granted to a caller.

use std::time::Duration;

use crate::Session;

/// A session as granted to a caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Lease {
    /// The session.
    pub session: Session,
    /// Time from issue or renewal during which new orders are accepted.
    pub ttl: Duration,
}

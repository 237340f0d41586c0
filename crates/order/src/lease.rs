//! A session as it is given to a caller.

use std::time::Duration;

use crate::Session;

/// A session as it is given to a caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Lease {
    /// The session.
    pub session: Session,
    /// Time from issue or renewal in which new orders are taken.
    pub ttl: Duration,
}

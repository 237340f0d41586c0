//! A refused request.

use std::time::Duration;

use super::Reason;

/// A refused request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Serial of the request; 0 if it was refused on arrival.
    pub serial: u64,
    /// Why it was refused.
    pub reason: Reason,
    /// When the caller should come back.
    pub retry_after: Duration,
}

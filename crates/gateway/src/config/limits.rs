//! Limits on what callers may send.

use std::time::Duration;

/// Limits on the requests and connections of callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time from the first to the last byte of a request head.
    pub head_timeout: Duration,
    /// Time that a connection may stay idle between requests, and that a request body may take to
    /// arrive.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

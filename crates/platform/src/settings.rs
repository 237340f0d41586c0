//! Limits of the HTTP client.

use std::time::Duration;

/// Limits of the HTTP client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Timeout of connecting.
    pub connect_timeout: Duration,
    /// Timeout of a whole call.
    pub call_timeout: Duration,
    /// Maximum size of an appended record in bytes.
    pub record_limit_bytes: usize,
    /// Maximum size of an answer in bytes.
    pub answer_limit_bytes: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
            record_limit_bytes: 4 << 20,
            answer_limit_bytes: 64 << 20,
        }
    }
}

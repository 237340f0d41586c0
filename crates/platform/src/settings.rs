//! Limits of the HTTP binding.

use std::time::Duration;

/// Limits of the HTTP binding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Longest time to set up a connection.
    pub connect_timeout: Duration,
    /// Longest time for one call as a whole.
    pub call_timeout: Duration,
    /// Largest record that is sent, in bytes.
    pub record_limit_bytes: usize,
    /// Largest answer that is read, in bytes.
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

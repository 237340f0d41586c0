//! Limits of calls between peers.

use std::time::Duration;

/// Limits of calls between peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Largest request in bytes.
    pub request_limit_bytes: u32,
    /// Largest answer in bytes.
    pub answer_limit_bytes: u32,
    /// Connections that a server keeps at once.
    pub connections: u32,
    /// Peers to which a client keeps connections; beyond it the one used longest ago is dropped.
    pub kept_peers: usize,
    /// Time for a client to send its first request; a server keeps idle connections after that.
    pub first_request_timeout: Duration,
    /// Time for a connection to be set up.
    pub connect_timeout: Duration,
    /// Time for a heartbeat and its answer.
    pub heartbeat_timeout: Duration,
    /// Time for a configuration to be fetched.
    pub configuration_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            request_limit_bytes: 48 << 20,
            answer_limit_bytes: 48 << 20,
            connections: 1_024,
            kept_peers: 32,
            first_request_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_millis(250),
            heartbeat_timeout: Duration::from_millis(500),
            configuration_timeout: Duration::from_secs(10),
        }
    }
}

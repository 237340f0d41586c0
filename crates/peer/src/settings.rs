//! Limits of calls between peers.

use std::time::Duration;

/// Limits of calls between peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Maximum size of a request in bytes.
    pub request_limit_bytes: u32,
    /// Maximum size of an answer in bytes.
    pub answer_limit_bytes: u32,
    /// Maximum number of connections to a server.
    pub connections: u32,
    /// Maximum number of peers to which a client keeps connections; beyond it the connection to the
    /// least recently used peer is closed.
    pub connected_peers: usize,
    /// Timeout of the first request on a connection; later idle times are not limited.
    pub first_request_timeout: Duration,
    /// Timeout of connecting.
    pub connect_timeout: Duration,
    /// Timeout of a heartbeat and its answer.
    pub heartbeat_timeout: Duration,
    /// Timeout of fetching a configuration.
    pub configuration_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            request_limit_bytes: 48 << 20,
            answer_limit_bytes: 48 << 20,
            connections: 1_024,
            connected_peers: 32,
            first_request_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_millis(250),
            heartbeat_timeout: Duration::from_millis(500),
            configuration_timeout: Duration::from_secs(10),
        }
    }
}

//! Capacity and speed of a backend server.

use std::time::Duration;

/// Capacity and speed of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of requests that run concurrently.
    pub slots: usize,
    /// Maximum number of open connections; further ones are closed.
    pub connections: usize,
    /// Maximum number of requests that wait for a slot; further ones are shed.
    pub queue_limit: usize,
    /// Time that a request holds its slot.
    pub service_time: Duration,
    /// Time until a load probe is answered.
    pub probe_time: Duration,
    /// Time from the start until the server reaches full speed.
    pub cold_start: Duration,
    /// Factor on the service time at the start; it falls linearly to 1.
    pub cold_factor: f64,
    /// Maximum size of a request body, in bytes.
    pub body_limit_bytes: usize,
    /// Answer to a request with a body.
    pub reply: Reply,
}

/// Answer to a request with a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The body itself.
    Echo,
    /// The body's [`digest`](super::digest).
    Digest,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 6,
            connections: 220,
            queue_limit: 1_000,
            service_time: Duration::from_millis(2),
            probe_time: Duration::from_millis(6),
            cold_start: Duration::ZERO,
            cold_factor: 1.0,
            body_limit_bytes: 32 << 20,
            reply: Reply::Echo,
        }
    }
}

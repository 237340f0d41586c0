//! Size and speed of a backend server.

use std::time::Duration;

/// Size and speed of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Requests worked on at once.
    pub slots: usize,
    /// Connections accepted at once; further ones are closed.
    pub connections: usize,
    /// Requests that may wait for a slot; further ones are shed.
    pub queue_limit: usize,
    /// Time that a request takes in its slot.
    pub service_time: Duration,
    /// Time that a load probe takes.
    pub probe_time: Duration,
    /// Time from the start until the server has its full speed.
    pub cold_start: Duration,
    /// Factor on the service time at the very start; it falls evenly to 1.
    pub cold_factor: f64,
    /// Largest request body in bytes.
    pub body_limit_bytes: usize,
    /// What answers a request with a body.
    pub reply: Reply,
}

/// What answers a request with a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The body itself.
    Echo,
    /// Its [`digest`](super::digest).
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

//! What a stop needs to know of a request.

use std::time::{Duration, Instant};

/// A request that may be started during a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// When the request was read.
    pub received: Instant,
    /// When its caller's deadline or the timeout of its route passes.
    pub deadline: Instant,
    /// Time that such requests are expected to take.
    pub service_time: Duration,
}

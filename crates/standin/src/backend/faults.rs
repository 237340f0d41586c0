//! Faults of a backend server.

use std::time::Duration;

use super::Load;

/// Faults of a backend server; the default is none.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// What happens to new requests.
    pub intake: Intake,
    /// Factor on the service time of requests that start.
    pub slow_factor: f64,
    /// Requests in their slots don't finish until this is off again.
    pub stalled: bool,
    /// Nothing listens; connections that exist go on.
    pub refuse: bool,
    /// Time between the end of a request's work and its answer; the slot is free by then.
    pub answer_delay: Duration,
    /// How answers go out.
    pub delivery: Delivery,
    /// Load that is reported instead of the true one.
    pub reported: Option<Load>,
}

/// What happens to new requests; those in progress go on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Intake {
    /// They are served.
    #[default]
    Serve,
    /// They are shed because the server drains.
    Drain,
    /// They are answered with status 500 at once and not run.
    FailFast,
}

/// How the answers to finished requests go out.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Delivery {
    /// As they are.
    #[default]
    Complete,
    /// The connection is closed before the stated length is reached.
    Truncated,
    /// The connection is reset before the stated length is reached.
    Reset,
    /// Each request gets the answer of the one before it, the id of the attempt included.
    Swapped,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            intake: Intake::default(),
            slow_factor: 1.0,
            stalled: false,
            refuse: false,
            answer_delay: Duration::ZERO,
            delivery: Delivery::default(),
            reported: None,
        }
    }
}

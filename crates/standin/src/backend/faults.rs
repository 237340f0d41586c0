//! Faults of a backend server.

use std::time::Duration;

use super::Load;

/// Faults of a backend server; the default is none.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// How new requests are handled.
    pub intake: Intake,
    /// Factor on the service time of new requests.
    pub slow_factor: f64,
    /// Requests in slots don't finish while this is set.
    pub stalled: bool,
    /// The listener is closed; existing connections stay open.
    pub refuse: bool,
    /// Delay between the end of a request's service time and its answer, without holding the slot.
    pub answer_delay: Duration,
    /// How answers are sent.
    pub delivery: Delivery,
    /// Load that is reported instead of the actual load.
    pub reported: Option<Load>,
}

/// How new requests are handled; requests in progress aren't affected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Intake {
    /// Run the request.
    #[default]
    Serve,
    /// Shed the request because the server is draining.
    Drain,
    /// Answer with status 500 at once without running the request.
    FailFast,
}

/// How answers to finished requests are sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Delivery {
    /// The answer is sent unchanged.
    #[default]
    Complete,
    /// The connection is closed before the stated length is reached.
    Truncated,
    /// The connection is reset before the stated length is reached.
    Reset,
    /// Each request gets the answer of the previous one, including the id of the attempt.
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

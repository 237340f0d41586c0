//! The result of an attempt.

use std::time::Duration;

use crate::Report;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer was received and reports no error.
    Success,
    /// An error, a timeout, or a truncated answer.
    Failure,
    /// The upstream refused the attempt because it is overloaded.
    Overload,
    /// The attempt never reached the upstream.
    NotSent,
    /// The attempt was cancelled for a reason unrelated to the upstream.
    Cancelled,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Completion {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from dispatch to the end of the attempt.
    pub latency: Duration,
    /// Load report that came with the answer, if any.
    pub report: Option<Report>,
}

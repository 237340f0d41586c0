//! The end of an attempt.

use std::time::Duration;

use crate::Report;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer came and is good.
    Success,
    /// An error, a timeout, or an answer cut short.
    Failure,
    /// The upstream refused the attempt because it has too much to do.
    Overload,
    /// The attempt never reached the upstream.
    NotSent,
    /// The attempt was given up for a reason that says nothing about the upstream.
    Cancelled,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from dispatch to the end.
    pub latency: Duration,
    /// Load report that came with the answer, if any.
    pub report: Option<Report>,
}

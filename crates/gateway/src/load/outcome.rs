//! Outcome of an attempt at an upstream.

/// Outcome of an attempt, as far as it says something about the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A complete answer that reports no failure.
    Success,
    /// A failure status, an invalid answer, or a timeout.
    Failure,
    /// The upstream refused the request and did not run it.
    Refused,
    /// This daemon cancelled the attempt.
    Cancelled,
}

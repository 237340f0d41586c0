//! How an attempt at an upstream ended.

/// How an attempt at an upstream ended, as far as it says something about the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer that tells of no failure.
    Success,
    /// A failure, a broken answer, or none in time.
    Failure,
    /// The upstream refused the request and did not run it.
    Refused,
    /// The attempt was given up for reasons of our own.
    Cancelled,
}

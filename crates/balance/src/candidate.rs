//! A candidate of a choice, for logs and diagnostics.

use std::time::Duration;

use crate::UpstreamId;

/// A candidate that was weighed, with the figures behind the decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Upstream that was weighed.
    pub upstream: UpstreamId,
    /// Expected time to the answer, with penalties for failures and distance; the lowest is
    /// preferred.
    pub expected: Duration,
    /// This host's requests in flight to the upstream before this choice.
    pub own: u32,
    /// Estimate of the other entry hosts' requests at the upstream.
    pub others: f64,
}

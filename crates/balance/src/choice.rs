//! A choice and the attempt that it starts.

use std::time::Instant;

use crate::{Candidate, UpstreamId};

/// An attempt in flight; it counts against its upstream until it is passed to
/// [`Balancer::finished`](crate::Balancer::finished).
#[derive(Debug, Eq, PartialEq)]
#[must_use = "an attempt that is never finished counts as in flight forever"]
pub struct Dispatch {
    pub(crate) upstream: UpstreamId,
    pub(crate) serial: u64,
    pub(crate) at: Instant,
}

impl Dispatch {
    /// Upstream that the attempt goes to.
    #[must_use]
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// Time of the choice.
    #[must_use]
    pub fn at(&self) -> Instant {
        self.at
    }
}

/// A chosen upstream with the figures behind the choice.
#[derive(Debug, PartialEq)]
#[must_use = "the choice already counts as in flight"]
pub struct Choice {
    /// The attempt, already counted as in flight.
    pub dispatch: Dispatch,
    /// The chosen upstream's figures.
    pub chosen: Candidate,
    /// The next best candidate's figures, if there was one.
    pub runner_up: Option<Candidate>,
    /// Number of upstreams that were weighed.
    pub weighed: u32,
}

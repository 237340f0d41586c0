//! An upstream as configured for the balancer.

use crate::{Domain, UpstreamId};

/// An upstream that may be chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Failure domain of the upstream.
    pub domain: Domain,
    /// Requests that it processes concurrently; 0 counts as 1.
    pub slots: u32,
}

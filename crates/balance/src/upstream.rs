//! An upstream as the balancer needs to know it.

use crate::{Domain, UpstreamId};

/// An upstream that may be chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Failure domain that it stands in.
    pub domain: Domain,
    /// Requests that it works on at once; 0 counts as 1.
    pub slots: u32,
}

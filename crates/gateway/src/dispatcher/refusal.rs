//! Reason for which a request is not sent.

use std::time::Duration;

use crate::load;

/// `Retry-After` while no upstream accepts requests.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reason for which a request is not sent, and when to retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason, for logs and metrics.
    pub reason: &'static str,
    /// When the caller may retry.
    pub retry_after: Duration,
}

impl Refusal {
    /// No upstream of the service accepts requests.
    #[must_use]
    pub fn no_upstream() -> Self {
        Self { reason: "no-upstream", retry_after: NO_UPSTREAM_RETRY_AFTER }
    }

    /// Every upstream has asked for a pause.
    #[must_use]
    pub fn paused(retry_after: Duration) -> Self {
        Self { reason: "upstreams-pause", retry_after }
    }
}

impl From<load::Refused> for Refusal {
    fn from(it: load::Refused) -> Self {
        let reason = match it.reason {
            load::Reason::Overload => "overload",
            load::Reason::Displaced => "displaced",
            load::Reason::Expired => "expired",
        };
        Self { reason, retry_after: it.retry_after }
    }
}

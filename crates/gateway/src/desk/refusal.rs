//! Why a request is not sent.

use std::time::Duration;

/// Advice to a caller while no upstream takes work.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why a request is not sent, and when to ask again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason, for logs and metrics.
    pub reason: &'static str,
    /// When the caller may ask again.
    pub retry_after: Duration,
}

impl Refusal {
    /// No upstream of the service takes work.
    #[must_use]
    pub fn no_upstream() -> Self {
        Self { reason: "no-upstream", retry_after: NO_UPSTREAM_RETRY_AFTER }
    }

    /// Too much work waits already.
    #[must_use]
    pub fn overload(retry_after: Duration) -> Self {
        Self { reason: "overload", retry_after }
    }
}

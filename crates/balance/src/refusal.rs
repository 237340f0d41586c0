//! Why no upstream was chosen.

use std::time::Duration;

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, thiserror::Error)]
pub enum Reason {
    /// The service has no upstream that is eligible for requests.
    #[error("no upstream may be given work")]
    NoUpstream,
    /// Every eligible upstream was already tried for this request.
    #[error("every upstream was already tried")]
    AllTried,
    /// No upstream that was weighed has room.
    #[error("no upstream has room")]
    Full,
}

/// A refusal to choose; the request has not been sent anywhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{reason}, try again in {retry_after:?} or after the next answer")]
pub struct Refusal {
    /// Why no upstream was chosen.
    pub reason: Reason,
    /// Time after which a retry may succeed even if no answer has been received by then.
    pub retry_after: Duration,
}

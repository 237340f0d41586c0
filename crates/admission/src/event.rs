//! Decisions of a gate on waiting requests.

use crate::RequestId;

/// Decision of a gate on a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The request has been given a slot and may be dispatched.
    Admit(RequestId),
    /// The request can no longer be answered in time; it was never dispatched.
    Expire(RequestId),
}

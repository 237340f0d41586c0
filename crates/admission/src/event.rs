//! What a gate decides about requests that wait.

use crate::RequestId;

/// What a gate decides about a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The request holds a slot now and may be dispatched.
    Admit(RequestId),
    /// The request can't be answered in time any more; it was never dispatched.
    Expire(RequestId),
}

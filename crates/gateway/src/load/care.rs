//! How choosy a request is.

/// Which upstreams a request may be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Care {
    /// Only those that are known to work at their usual pace now.
    Undisturbed,
    /// Besides, those that were undisturbed shortly before; if hardly any is, also disturbed ones that
    /// hold no other request.
    Idle,
    /// All that have room.
    Any,
}

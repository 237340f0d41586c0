//! How choosy a request is.

/// Which upstreams a request may be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Care {
    /// Only those that are known to work at their usual pace now.
    Undisturbed,
    /// Besides, those of which nothing new is known, and disturbed ones that hold no other request:
    /// work on them takes longer, but takes no room from requests that can be done at the usual pace.
    Idle,
    /// All that have room.
    Any,
}

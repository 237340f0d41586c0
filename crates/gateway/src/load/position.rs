//! Order of waiting requests.

/// Position in the queue; the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Position {
    /// Whether neither the route nor the tenant is owed service.
    pub(super) is_not_owed: bool,
    /// Priority of the request; 0 is the most urgent.
    pub(super) priority: u8,
    /// Whether an answer can no longer meet the target.
    pub(super) is_late: bool,
    /// Whether the tenant has recently used more than its share.
    pub(super) is_over_share: bool,
    /// Class of requests that need about the same work.
    pub(super) cost_class: i32,
    /// When the wait is long, the latest time of dispatch in microseconds; otherwise newest first.
    pub(super) order: i64,
    /// Serial of the request.
    pub(super) serial: u64,
}

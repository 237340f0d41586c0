//! Counts of requests.

/// Counts of requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Execution {
    /// Requests that started to run; an order is placed at this point.
    pub started: u64,
    /// Requests that finished running.
    pub finished: u64,
    /// Requests that were shed or failed fast without being run.
    pub shed: u64,
}

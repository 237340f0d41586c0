//! What happened to requests.

/// What happened to requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Execution {
    /// Requests whose work began; an order counts as placed from here on.
    pub started: u64,
    /// Requests whose work ended.
    pub finished: u64,
    /// Requests that were not run: shed or failed fast.
    pub shed: u64,
}

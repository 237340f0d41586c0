//! Where a daemon stands between its start and its end.

/// Where a daemon stands between its start and its end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Phase {
    /// Lacks a configuration or the upstreams.
    #[default]
    Starting,
    /// Serves callers.
    Ready,
    /// Serves what still comes, and ends soon.
    Leaving,
}

//! Lifecycle phase of a daemon.

/// Lifecycle phase of a daemon.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Phase {
    /// Lacks a configuration or the upstreams.
    #[default]
    Starting,
    /// Serves callers.
    Ready,
    /// Still serves callers, but stops soon.
    Leaving,
}

//! Load that an upstream reports in its answers.

/// Load of an upstream at one moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Requests that it can process at a time.
    pub slots: u32,
    /// Current processing time, in percent of the usual time.
    pub pace_percent: u32,
}

impl Report {
    /// Requests running and waiting.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

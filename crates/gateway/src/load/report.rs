//! Load that an upstream reports on its answers.

/// Load of an upstream at one moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can work on at a time.
    pub slots: u32,
    /// How long work takes there now, in percent of the usual time.
    pub pace_percent: u32,
}

impl Report {
    /// Requests that it holds.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

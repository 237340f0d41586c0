//! A load report of an upstream.

/// The load that an upstream reports with an answer or in reply to a probe.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Occupied slots, without that of the request whose answer carried the report.
    pub occupied: u32,
    /// Requests that wait for a slot at the upstream.
    pub queued: u32,
}

impl Report {
    /// Requests at the upstream, in progress or waiting.
    #[must_use]
    pub fn total(self) -> u32 {
        self.occupied.saturating_add(self.queued)
    }
}

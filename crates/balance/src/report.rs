//! A load report of an upstream.

/// What an upstream says of its own load, on an answer or to a probe.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Slots at work, without the request that the report came with.
    pub occupied: u32,
    /// Requests that wait at the upstream for a slot.
    pub queued: u32,
}

impl Report {
    /// Requests at the upstream, at work or waiting.
    #[must_use]
    pub fn total(self) -> u32 {
        self.occupied.saturating_add(self.queued)
    }
}

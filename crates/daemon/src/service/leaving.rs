//! Upstreams of a service that are leaving, according to the host list or to their own answers.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use balance::UpstreamId;

/// Time for which an upstream's own report is valid. The host list should mark the upstream by
/// then; otherwise it gets requests again, and sheds them if it is still leaving.
const REPORT_LIFETIME: Duration = Duration::from_secs(30);

/// Upstreams of a service that are leaving.
#[derive(Debug, Default)]
pub struct Leaving {
    listed: HashSet<UpstreamId>,
    reported: HashMap<UpstreamId, Instant>,
}

impl Leaving {
    /// Sets the upstreams that the host list marks.
    pub fn set_listed(&mut self, listed: HashSet<UpstreamId>) {
        self.listed = listed;
    }

    /// Records that an upstream reported that it is leaving.
    pub fn report(&mut self, upstream: UpstreamId, now: Instant) {
        self.reported.insert(upstream, now);
    }

    /// Removes expired reports. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.reported.len();
        self.reported.retain(|_, at| now.saturating_duration_since(*at) < REPORT_LIFETIME);
        self.reported.len() < before
    }

    /// Returns the upstreams that reported that they are leaving.
    pub fn reported(&self) -> impl Iterator<Item = &UpstreamId> {
        self.reported.keys()
    }

    /// Whether an upstream is leaving.
    #[must_use]
    pub fn contains(&self, upstream: &UpstreamId) -> bool {
        self.listed.contains(upstream) || self.reported.contains_key(upstream)
    }
}

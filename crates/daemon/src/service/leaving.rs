//! Upstreams of a service that are leaving, by the host list or by their own word.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use balance::UpstreamId;

/// Time for which an upstream's own word counts; the host list should have told by then. Afterwards
/// a request asks again.
const OWN_WORD_LIFETIME: Duration = Duration::from_secs(30);

/// Upstreams of a service that are leaving.
#[derive(Debug, Default)]
pub struct Leaving {
    listed: HashSet<UpstreamId>,
    own_word: HashMap<UpstreamId, Instant>,
}

impl Leaving {
    /// Takes in those that the host list marks.
    pub fn set_listed(&mut self, listed: HashSet<UpstreamId>) {
        self.listed = listed;
    }

    /// Takes in that an upstream said so itself.
    pub fn said(&mut self, upstream: UpstreamId, now: Instant) {
        self.own_word.insert(upstream, now);
    }

    /// Drops words that no longer count; tells whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.own_word.len();
        self.own_word.retain(|_, at| now.saturating_duration_since(*at) < OWN_WORD_LIFETIME);
        self.own_word.len() < before
    }

    /// Upstreams that said so themselves.
    pub fn said_so(&self) -> impl Iterator<Item = &UpstreamId> {
        self.own_word.keys()
    }

    /// Whether an upstream is leaving.
    #[must_use]
    pub fn contains(&self, upstream: &UpstreamId) -> bool {
        self.listed.contains(upstream) || self.own_word.contains_key(upstream)
    }
}

//! Newest revisions of the entries that were removed.

use std::collections::{HashMap, VecDeque};

use super::{Removal, Revision, UpstreamId};

/// Maximum number of removals remembered: a late write comes seconds after the one that it follows, and
/// the store loses some seconds, in which fewer upstreams leave.
const MAX_REMOVALS: usize = 4_096;

/// Newest revisions of the entries that were removed. A write that was executed late must not bring an
/// entry back.
#[derive(Debug, Default)]
pub(super) struct Removals {
    revisions: HashMap<UpstreamId, Revision>,
    /// In the order in which they were recorded.
    order: VecDeque<Removal>,
}

impl Removals {
    /// Records a removal, unless this or a newer one of the same entry is known.
    pub(super) fn record(&mut self, removal: Removal) {
        if self.revisions.get(&removal.id).is_some_and(|it| *it >= removal.revision) {
            return;
        }
        self.revisions.insert(removal.id.clone(), removal.revision);
        self.order.push_back(removal);
        if self.order.len() > MAX_REMOVALS
            && let Some(oldest) = self.order.pop_front()
            && self.get(&oldest.id) == oldest.revision
        {
            self.revisions.remove(&oldest.id);
        }
    }

    /// Newest revision of a removed entry; the oldest possible one if none was removed.
    pub(super) fn get(&self, id: &str) -> Revision {
        self.revisions.get(id).copied().unwrap_or_default()
    }

    /// All of them.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&UpstreamId, Revision)> {
        self.revisions.iter().map(|(id, it)| (id, *it))
    }

    /// The removals recorded last, at most `count`.
    pub(super) fn newest(&self, count: usize) -> Vec<Removal> {
        self.order.iter().rev().take(count).cloned().collect()
    }
}

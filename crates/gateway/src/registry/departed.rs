//! Upstreams that had left when the store came back from an older copy.

use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

use super::{REWRITE_TIME, Registration, State, UpstreamId, removals::Removals};

/// Holds back upstreams that an older copy of the store lists as ready although they had left, until
/// their leaving is written again.
#[derive(Debug, Default)]
pub(super) struct Departed {
    /// Incarnations that had left when the era of the store began.
    incarnations: HashMap<UpstreamId, u64>,
    /// Registrations that the store lists and that are not used yet.
    held_back: HashMap<UpstreamId, Registration>,
    /// Until when they are held back.
    until: Option<Instant>,
}

impl Departed {
    /// Whether no registration is held back.
    pub(super) fn is_empty(&self) -> bool {
        self.held_back.is_empty()
    }

    /// Whether the registration of an upstream is held back.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.held_back.contains_key(id)
    }

    /// Begins an era of the store; `entries` are the upstreams known before it, and `removals` those
    /// that were removed.
    pub(super) fn begin_era(
        &mut self,
        now: Instant,
        entries: &BTreeMap<UpstreamId, Registration>,
        removals: &Removals,
    ) {
        self.until = Some(now + REWRITE_TIME);
        self.incarnations = removals.iter().map(|(id, it)| (id.clone(), it.born_ms)).collect();
        for it in entries.values() {
            if it.state == State::Leaving {
                self.incarnations.insert(it.id.clone(), it.born_ms);
            } else {
                self.incarnations.remove(&it.id);
            }
        }
    }

    /// Removes the registrations that must be held back from a list of the store.
    pub(super) fn hold_back(&mut self, now: Instant, list: &mut Vec<Registration>) {
        self.held_back.clear();
        if self.until.is_none_or(|it| now >= it) {
            return;
        }
        let has_left = |it: &mut Registration| {
            it.state == State::Ready && self.incarnations.get(&it.id) == Some(&it.born_ms)
        };
        let held_back = list.extract_if(.., has_left);
        self.held_back = held_back.map(|it| (it.id.clone(), it)).collect();
    }

    /// Records that a record of an upstream was written in this era, which decides.
    pub(super) fn settle(&mut self, id: &str) {
        self.incarnations.remove(id);
        self.held_back.remove(id);
    }

    /// Returns the registrations that were held back, once the time to write again has passed.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<Registration> {
        if self.until.is_none_or(|it| now < it) {
            return Vec::new();
        }
        self.until = None;
        self.incarnations.clear();
        self.held_back.drain().map(|(_, it)| it).collect()
    }
}

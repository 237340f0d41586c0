//! Fold of the records of upstreams into the set that may be used.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64;

use super::{Registration, State, UpstreamId};
use crate::platform::Offset;

/// Time for which two daemons must differ before one reads everything anew.
const DIFFERENCE_TIME: Duration = Duration::from_secs(1);

/// What a record changed.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Change {
    /// An incarnation is new, or says something else of itself than before.
    Put(Registration),
    /// The entry was removed.
    Removed(UpstreamId),
}

/// Upstreams that may be used, by id.
///
/// A removal that is read while the store is disturbed, or shortly after, may only be an entry that
/// lapsed because its upstream could not reach the store. It is believed only if the upstream is
/// still missing once `lapse_grace` has passed since the store's return.
#[derive(Debug)]
pub struct Fold {
    lapse_grace: Duration,
    entries: BTreeMap<UpstreamId, Registration>,
    doubtful: HashSet<UpstreamId>,
    disturbed: bool,
    calm_since: Option<Instant>,
    end: Offset,
    differs_since: Option<Instant>,
    digest: u32,
}

impl Fold {
    /// An empty set.
    #[must_use]
    pub fn new(lapse_grace: Duration) -> Self {
        Self {
            lapse_grace,
            entries: BTreeMap::new(),
            doubtful: HashSet::new(),
            disturbed: false,
            calm_since: None,
            end: 0,
            differs_since: None,
            digest: 0,
        }
    }

    /// Offset behind the last record that was taken in.
    #[must_use]
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Upstreams that may be used.
    pub fn entries(&self) -> impl Iterator<Item = &Registration> {
        self.entries.values()
    }

    /// Lets the next read begin anew, because records were deleted.
    pub fn restart(&mut self) {
        self.end = 0;
    }

    /// Notes that a call to the store failed.
    pub fn store_failed(&mut self) {
        self.disturbed = true;
        self.calm_since = None;
    }

    /// Notes that a call to the store was answered.
    pub fn store_answered(&mut self, now: Instant) {
        if self.disturbed && self.calm_since.is_none() {
            self.calm_since = Some(now);
        }
    }

    /// Notes that a peer has read the store undisturbed: calls from here failed for reasons of this
    /// host, and no entry has lapsed.
    pub fn peer_is_calm(&mut self) {
        self.disturbed = false;
        self.calm_since = None;
    }

    /// Whether removals are believed at once. A daemon that doubts them must not speak for others.
    #[must_use]
    pub fn is_undisturbed(&self) -> bool {
        !self.disturbed
    }

    /// Replaces the whole set by `registrations`, read up to `end`.
    ///
    /// Gives the changes that lead there, removals that are not believed yet left out.
    pub fn replace(
        &mut self,
        now: Instant,
        registrations: Vec<Registration>,
        end: Offset,
    ) -> Vec<Change> {
        if end < self.end {
            return Vec::new();
        }
        let present: HashSet<_> = registrations.iter().map(|it| it.id.clone()).collect();
        let missing: Vec<_> =
            self.entries.keys().filter(|it| !present.contains(*it)).cloned().collect();
        let mut res: Vec<_> = registrations.into_iter().filter_map(|it| self.put(it)).collect();
        res.extend(missing.into_iter().filter_map(|it| self.remove(now, it)));
        self.end = end;
        res
    }

    /// Takes in the change that a record tells of; gives it back if it is news and believed.
    pub fn apply(&mut self, now: Instant, change: Change) -> Option<Change> {
        match change {
            Change::Put(it) => self.put(it),
            Change::Removed(it) => self.remove(now, it),
        }
    }

    /// Takes in a change that a peer believes; gives it back if it is news.
    pub fn believe(&mut self, change: Change) -> Option<Change> {
        match change {
            Change::Put(it) => self.put(it),
            Change::Removed(id) => {
                self.doubtful.remove(&id);
                self.take(&id).then_some(Change::Removed(id))
            }
        }
    }

    /// Hash of all entries, equal on daemons that know the same.
    #[must_use]
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Compares with what a peer knows; true if both have read equally far and differ for long.
    pub fn compare(&mut self, now: Instant, end: Offset, digest: u32) -> bool {
        if end != self.end || digest == self.digest || !self.doubtful.is_empty() {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let differs = now.saturating_duration_since(since) >= DIFFERENCE_TIME;
        if differs {
            self.differs_since = None;
            self.end = 0;
        }
        differs
    }

    /// Notes that all records before `end` have been taken in.
    pub fn advance(&mut self, end: Offset) {
        self.end = self.end.max(end);
    }

    /// Believes removals that were doubted for long enough, and gives them back.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        if !self.is_calm(now) {
            return Vec::new();
        }
        self.disturbed = false;
        self.calm_since = None;
        let mut gone: Vec<_> = self.doubtful.drain().collect();
        gone.retain(|it| self.take(it));
        gone.into_iter().map(Change::Removed).collect()
    }

    fn is_calm(&self, now: Instant) -> bool {
        !self.disturbed
            || self.calm_since.is_some_and(|it| now.duration_since(it) >= self.lapse_grace)
    }

    fn put(&mut self, it: Registration) -> Option<Change> {
        self.doubtful.remove(&it.id);
        let old = self.entries.get(&it.id);
        if old.is_some_and(|old| old.born_ms > it.born_ms) {
            return None;
        }
        let is_news = old.is_none_or(|old| {
            !old.is_same_incarnation(&it)
                || old.state != it.state
                || old.slots != it.slots
                || old.service != it.service
        });
        self.take(&it.id);
        self.digest = self.digest.wrapping_add(hash(&it));
        self.entries.insert(it.id.clone(), it.clone());
        is_news.then_some(Change::Put(it))
    }

    fn remove(&mut self, now: Instant, id: UpstreamId) -> Option<Change> {
        let entry = self.entries.get(&id)?;
        if !self.is_calm(now) && entry.state == State::Ready {
            self.doubtful.insert(id);
            return None;
        }
        self.take(&id);
        self.doubtful.remove(&id);
        Some(Change::Removed(id))
    }

    /// Removes an entry; false if there is none.
    fn take(&mut self, id: &str) -> bool {
        let Some(old) = self.entries.remove(id) else { return false };
        self.digest = self.digest.wrapping_sub(hash(&old));
        true
    }
}

/// Part of a set's hash that stands for one entry.
fn hash(it: &Registration) -> u32 {
    let text = format!("{}/{}/{:?}", it.id, it.born_ms, it.state);
    // A part of a good hash is one.
    #[expect(clippy::cast_possible_truncation)]
    let res = xxh3_64(text.as_bytes()) as u32;
    res
}

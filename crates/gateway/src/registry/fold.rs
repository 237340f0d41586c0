//! Folds the records of upstreams into the set of usable upstreams.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    Registration, Removal, Revision, State, UpstreamId, departed::Departed, removals::Removals,
};
use crate::platform::{Era, Offset};

/// Time for which the digest must differ from a peer's before the registry is read again in full.
const DIVERGENCE_TIME: Duration = Duration::from_secs(1);

/// A change of the registry.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Change {
    /// An incarnation is new or its registration has changed.
    Put(Registration),
    /// The entry was removed.
    Removed(Removal),
}

impl Change {
    /// Id of the upstream.
    #[must_use]
    pub fn id(&self) -> &UpstreamId {
        match self {
            Self::Put(it) => &it.id,
            Self::Removed(it) => &it.id,
        }
    }
}

/// The usable upstreams by id.
///
/// A removal that is read while calls to the store fail, or shortly after, may be an entry that
/// expired only because its upstream could not reach the store. It is applied only if the entry is
/// still missing once `expiry_grace` has passed since the store answered again. The same holds for
/// entries that are missing when the store has come back from an older copy.
///
/// Of what an upstream has written, the newest by its [`Revision`] holds, in whatever order it is read.
#[derive(Debug)]
pub struct Fold {
    expiry_grace: Duration,
    entries: BTreeMap<UpstreamId, Registration>,
    pending_removals: HashSet<UpstreamId>,
    store_unstable: bool,
    answering_since: Option<Instant>,
    era: Era,
    end: Offset,
    removals: Removals,
    departed: Departed,
    diverged_since: Option<Instant>,
    digest: u32,
}

impl Fold {
    /// Creates an empty set.
    #[must_use]
    pub fn new(expiry_grace: Duration) -> Self {
        Self {
            expiry_grace,
            entries: BTreeMap::new(),
            pending_removals: HashSet::new(),
            store_unstable: false,
            answering_since: None,
            era: 0,
            end: 0,
            removals: Removals::default(),
            departed: Departed::default(),
            diverged_since: None,
            digest: 0,
        }
    }

    /// Offset after the last record applied.
    #[must_use]
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Era of the store in which the offsets hold.
    #[must_use]
    pub fn era(&self) -> Era {
        self.era
    }

    /// The usable upstreams.
    pub fn entries(&self) -> impl Iterator<Item = &Registration> {
        self.entries.values()
    }

    /// Makes the next read start over, because records were deleted from the store.
    pub fn restart_read(&mut self) {
        self.end = 0;
    }

    /// Records that a call to the store failed.
    pub fn store_failed(&mut self) {
        self.store_unstable = true;
        self.answering_since = None;
    }

    /// Records that a call to the store succeeded, of this daemon or of a peer.
    pub fn store_answered(&mut self, now: Instant) {
        if self.store_unstable && self.answering_since.is_none() {
            self.answering_since = Some(now);
        }
    }

    /// Records that a peer has read the store without failures. Calls from this host then failed
    /// for local reasons, and no entry has expired because of them.
    pub fn peer_confirmed_store(&mut self) {
        self.store_unstable = false;
        self.answering_since = None;
    }

    /// Whether removals are applied immediately.
    #[must_use]
    pub fn trusts_removals(&self) -> bool {
        !self.store_unstable
    }

    /// When pending removals take effect, once the store answers again after failed calls.
    #[must_use]
    pub fn removals_due(&self) -> Option<Instant> {
        let since = self.answering_since.filter(|_| self.store_unstable)?;
        Some(since + self.expiry_grace)
    }

    /// Whether the removal of an entry has been read and has not taken effect yet.
    #[must_use]
    pub fn is_removal_pending(&self, id: &str) -> bool {
        self.pending_removals.contains(id)
    }

    /// Whether the store lists an upstream that isn't used again because it had left before the era.
    #[must_use]
    pub fn is_held_back(&self, id: &str) -> bool {
        self.departed.contains(id)
    }

    /// Replaces the whole set by `registrations`, read up to `end` in an era of the store.
    ///
    /// Returns the resulting changes, without removals that are still pending.
    pub fn replace(
        &mut self,
        now: Instant,
        mut registrations: Vec<Registration>,
        era: Era,
        end: Offset,
    ) -> Vec<Change> {
        if (era, end) < (self.era, self.end) {
            return Vec::new();
        }
        if era > self.era {
            self.begin_era(now, era);
        }
        self.departed.hold_back(now, &mut registrations);
        let present: HashSet<_> = registrations.iter().map(|it| it.id.clone()).collect();
        let missing: Vec<_> =
            self.entries.keys().filter(|it| !present.contains(*it)).cloned().collect();
        let mut res: Vec<_> = registrations.into_iter().filter_map(|it| self.put(it)).collect();
        let removal = |id| Removal { id, revision: Revision::default() };
        res.extend(missing.into_iter().filter_map(|it| self.remove(now, removal(it))));
        self.end = end;
        res
    }

    /// Replaces the whole set by that of a peer, which has read further, and takes over its removals:
    /// an entry that was removed may be back in the list.
    ///
    /// Returns the resulting changes, without removals that are still pending.
    pub fn adopt(
        &mut self,
        now: Instant,
        registrations: Vec<Registration>,
        removals: Vec<Removal>,
        era: Era,
        end: Offset,
    ) -> Vec<Change> {
        let mut res = self.merge(Vec::new(), removals);
        res.extend(self.replace(now, registrations, era, end));
        res
    }

    /// Whether a change is older than what is known of its upstream.
    #[must_use]
    pub fn is_outdated(&self, change: &Change) -> bool {
        match change {
            Change::Put(it) => it.revision().is_outdated(self.revision(&it.id)),
            Change::Removed(_) => false,
        }
    }

    /// Adds to a removal which revision was removed, as far as it is known here.
    #[must_use]
    pub fn complete(&self, change: Change) -> Change {
        match change {
            Change::Removed(it) => {
                let revision = it.revision.max(self.revision(&it.id));
                Change::Removed(Removal { revision, ..it })
            }
            Change::Put(_) => change,
        }
    }

    /// The removals that were read last, at most `count`.
    #[must_use]
    pub fn newest_removals(&self, count: usize) -> Vec<Removal> {
        self.removals.newest(count)
    }

    /// Takes over what a peer knows better: newer registrations of upstreams that the store lists, and
    /// removals that the list contradicts by a write that was executed late. Returns the resulting
    /// changes.
    pub fn merge(
        &mut self,
        registrations: Vec<Registration>,
        removals: Vec<Removal>,
    ) -> Vec<Change> {
        let mut res = Vec::new();
        for it in removals {
            let entry = self.entries.get(&it.id).map(Registration::revision);
            let is_late = entry.is_some_and(|entry| entry.is_outdated(it.revision));
            if is_late && self.remove_entry(&it) {
                self.pending_removals.remove(&it.id);
                res.push(Change::Removed(it));
            } else {
                self.removals.record(it);
            }
        }
        for it in registrations {
            let is_newer = |old: &Registration| old.revision().is_outdated(it.revision());
            if self.entries.get(&it.id).is_some_and(is_newer) {
                res.extend(self.put(it));
            }
        }
        res
    }

    /// Applies the change of a record; returns it if it has an effect now.
    pub fn apply(&mut self, now: Instant, change: Change) -> Option<Change> {
        if self.is_outdated(&change) {
            return None;
        }
        self.departed.settle(change.id());
        match change {
            Change::Put(it) => self.put(it),
            Change::Removed(it) => self.remove(now, it),
        }
    }

    /// Applies a change relayed by a peer, including removals; returns it if it has an effect.
    pub fn apply_from_peer(&mut self, change: Change) -> Option<Change> {
        if self.is_outdated(&change) {
            return None;
        }
        self.departed.settle(change.id());
        match change {
            Change::Put(it) => self.put(it),
            Change::Removed(it) => {
                self.pending_removals.remove(&it.id);
                self.remove_entry(&it).then(|| self.complete(Change::Removed(it)))
            }
        }
    }

    /// Digest of all entries; equal on daemons with the same entries.
    #[must_use]
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Whether a peer that has read equally far has other entries. One that has read less or further
    /// has others anyway.
    #[must_use]
    pub fn differs(&self, end: Offset, digest: u32) -> bool {
        end == self.end && end > 0 && digest != self.digest
    }

    /// Compares with a peer's end and digest. Returns true if both have read equally far and have
    /// differed for [`DIVERGENCE_TIME`]; the next read then starts over.
    pub fn check_divergence(&mut self, now: Instant, end: Offset, digest: u32) -> bool {
        let is_pending = !self.pending_removals.is_empty() || !self.departed.is_empty();
        if end != self.end || digest == self.digest || is_pending {
            self.diverged_since = None;
            return false;
        }
        let since = *self.diverged_since.get_or_insert(now);
        let has_diverged = now.saturating_duration_since(since) >= DIVERGENCE_TIME;
        if has_diverged {
            self.diverged_since = None;
            self.end = 0;
        }
        has_diverged
    }

    /// Records that all records before `end` have been applied.
    pub fn advance(&mut self, end: Offset) {
        self.end = self.end.max(end);
    }

    /// Applies removals whose grace period has passed, and registrations that were held back for long
    /// enough; returns them.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let due = self.departed.take_due(now);
        let mut res: Vec<_> = due.into_iter().filter_map(|it| self.put(it)).collect();
        if !self.is_store_stable(now) {
            return res;
        }
        self.store_unstable = false;
        self.answering_since = None;
        let pending: Vec<_> = self.pending_removals.drain().collect();
        for id in pending {
            let revision = self.revision(&id);
            let removal = Removal { id, revision };
            if self.remove_entry(&removal) {
                res.push(Change::Removed(removal));
            }
        }
        res
    }

    fn begin_era(&mut self, now: Instant, era: Era) {
        self.era = era;
        // Also if nothing was known before: the era may just have begun, and peers must not trust the
        // removals that this daemon reads.
        self.store_unstable = true;
        self.answering_since = Some(now);
        self.departed.begin_era(now, &self.entries, &self.removals);
    }

    fn is_store_stable(&self, now: Instant) -> bool {
        !self.store_unstable
            || self.answering_since.is_some_and(|it| now.duration_since(it) >= self.expiry_grace)
    }

    /// Newest revision known of an upstream, whether or not it is registered.
    fn revision(&self, id: &str) -> Revision {
        let entry = self.entries.get(id).map(Registration::revision);
        self.removals.get(id).max(entry.unwrap_or_default())
    }

    fn put(&mut self, it: Registration) -> Option<Change> {
        if it.revision().is_outdated(self.revision(&it.id)) {
            return None;
        }
        self.pending_removals.remove(&it.id);
        let old = self.entries.get(&it.id);
        let is_change = old.is_none_or(|old| {
            !old.is_same_incarnation(&it)
                || old.state != it.state
                || old.slots != it.slots
                || old.service != it.service
                || old.domain != it.domain
                // It has become cold again, or warm; in between the time only shrinks.
                || it.cold_for > old.cold_for
                || it.cold_for.is_zero() != old.cold_for.is_zero()
        });
        self.take_entry(&it.id);
        self.digest = self.digest.wrapping_add(hash(&it));
        self.entries.insert(it.id.clone(), it.clone());
        is_change.then_some(Change::Put(it))
    }

    fn remove(&mut self, now: Instant, it: Removal) -> Option<Change> {
        let entry = self.entries.get(&it.id)?;
        if !self.is_store_stable(now) && entry.state == State::Ready {
            self.pending_removals.insert(it.id);
            return None;
        }
        self.remove_entry(&it);
        self.pending_removals.remove(&it.id);
        Some(self.complete(Change::Removed(it)))
    }

    /// Removes an entry and remembers its revision; returns false if there is none.
    fn remove_entry(&mut self, it: &Removal) -> bool {
        let Removal { id, revision } = it;
        let revision = self.revision(id).max(*revision);
        let is_present = self.take_entry(id).is_some();
        self.removals.record(Removal { id: id.clone(), revision });
        is_present
    }

    fn take_entry(&mut self, id: &str) -> Option<Registration> {
        let old = self.entries.remove(id)?;
        self.digest = self.digest.wrapping_sub(hash(&old));
        Some(old)
    }
}

/// Contribution of one entry to the digest: all that decides whether and how it is used. The rest of its
/// slow start and the number of the write are left out, since not every write is relayed.
fn hash(it: &Registration) -> u32 {
    let Registration { id, born_ms, seq: _, service, address, domain, slots, state, cold_for: _ } =
        it;
    let text = format!("{id}/{born_ms}/{service}/{address}/{domain}/{slots}/{state:?}");
    // Any 32 bits of the hash are equally good.
    #[expect(clippy::cast_possible_truncation)]
    let res = xxh3_64(text.as_bytes()) as u32;
    res
}

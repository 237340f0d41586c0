//! Waiting requests of one rank, served fairly between callers.
//!
//! Start-time fair queueing: each caller has a virtual start time, which grows by the expected
//! service time of each of its requests that is served; the caller with the lowest one is served
//! next. Callers are tracked only while they have waiting requests, so the queue limit bounds their
//! number.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use crate::{Caller, RequestId};

/// Position of a request in the order of arrival.
type Sequence = u64;

/// A waiting request.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) id: RequestId,
    pub(crate) caller: Caller,
    pub(crate) expected: Duration,
    pub(crate) queued_at: Instant,
    pub(crate) latest_start: Instant,
}

impl Entry {
    /// Whether the entry has waited for more than `percent` of the time that it can wait.
    fn is_overdue(&self, now: Instant, percent: u8) -> bool {
        let allowed = self.latest_start.saturating_duration_since(self.queued_at);
        now.saturating_duration_since(self.queued_at) > allowed * u32::from(percent) / 100
    }
}

/// The waiting requests of one caller.
#[derive(Debug)]
struct Backlog {
    start_tag: Duration,
    entries: BTreeMap<Sequence, Entry>,
}

impl Backlog {
    /// The oldest entry, or the newest if the oldest is overdue.
    fn next(&self, now: Instant, newest_first_after_percent: u8) -> Option<(Sequence, &Entry)> {
        let (oldest, entry) = self.entries.first_key_value()?;
        if entry.is_overdue(now, newest_first_after_percent) {
            return self.entries.last_key_value().map(|(sequence, it)| (*sequence, it));
        }
        Some((*oldest, entry))
    }
}

/// Waiting requests of one rank; every operation is logarithmic in their number.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    backlogs: HashMap<Caller, Backlog>,
    by_start_tag: BTreeSet<(Duration, Caller)>,
    by_length: BTreeSet<(usize, Caller)>,
    by_latest_start: BTreeSet<(Instant, RequestId)>,
    locations: HashMap<RequestId, (Caller, Sequence)>,
    virtual_time: Duration,
    next_sequence: Sequence,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.locations.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.locations.contains_key(&id)
    }

    /// Approximate number of requests that would be served before a new one of `caller`.
    pub(crate) fn position(&self, caller: &Caller) -> usize {
        let callers = self.backlogs.len();
        self.len().min((self.backlog_len(caller) + 1) * callers)
    }

    pub(crate) fn backlog_len(&self, caller: &Caller) -> usize {
        self.backlogs.get(caller).map_or(0, |it| it.entries.len())
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let caller = entry.caller.clone();
        self.locations.insert(entry.id, (caller.clone(), sequence));
        self.by_latest_start.insert((entry.latest_start, entry.id));
        let start_tag = self.virtual_time;
        let backlog = self.backlogs.entry(caller.clone()).or_insert_with(|| {
            self.by_start_tag.insert((start_tag, caller.clone()));
            Backlog { start_tag, entries: BTreeMap::new() }
        });
        let len = backlog.entries.len();
        backlog.entries.insert(sequence, entry);
        self.by_length.remove(&(len, caller.clone()));
        self.by_length.insert((len + 1, caller));
    }

    /// The request that [`pop`](Self::pop) would remove.
    pub(crate) fn peek(&self, now: Instant, newest_first_after_percent: u8) -> Option<&Entry> {
        let (_, caller) = self.by_start_tag.first()?;
        self.backlogs[caller].next(now, newest_first_after_percent).map(|(_, it)| it)
    }

    /// Removes the next request, and adds its expected service time to its caller's start time.
    pub(crate) fn pop(&mut self, now: Instant, newest_first_after_percent: u8) -> Option<Entry> {
        let (start_tag, caller) = self.by_start_tag.pop_first()?;
        let backlog = self.backlogs.get_mut(&caller)?;
        let (_, next) = backlog.next(now, newest_first_after_percent)?;
        let (id, expected) = (next.id, next.expected);
        self.virtual_time = start_tag;
        backlog.start_tag = start_tag + expected;
        self.by_start_tag.insert((backlog.start_tag, caller));
        self.remove(id)
    }

    /// Removes a request from any position.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Entry> {
        let (caller, sequence) = self.locations.remove(&id)?;
        let backlog = self.backlogs.get_mut(&caller)?;
        let len = backlog.entries.len();
        let entry = backlog.entries.remove(&sequence)?;
        self.by_latest_start.remove(&(entry.latest_start, id));
        self.by_length.remove(&(len, caller.clone()));
        if len > 1 {
            self.by_length.insert((len - 1, caller));
            return Some(entry);
        }
        self.by_start_tag.remove(&(backlog.start_tag, caller.clone()));
        self.backlogs.remove(&caller);
        Some(entry)
    }

    /// Removes a request that can no longer be answered in time.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<Entry> {
        let (latest_start, id) = *self.by_latest_start.first()?;
        if latest_start > now {
            return None;
        }
        self.remove(id)
    }

    /// The request that would be served last of the longest backlog, if that backlog is longer than
    /// `caller`'s would be with one more request.
    pub(crate) fn displaceable(&self, caller: &Caller, newest_first: bool) -> Option<&Entry> {
        let (len, longest) = self.by_length.last()?;
        if longest == caller || *len <= self.backlog_len(caller) + 1 {
            return None;
        }
        let entries = &self.backlogs[longest].entries;
        if newest_first { entries.values().next() } else { entries.values().next_back() }
    }
}

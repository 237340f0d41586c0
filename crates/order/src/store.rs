//! The orders of an engine, with a bound on the memory for their answers.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Instant,
};

use crate::{
    Key, Outcome, Ticket,
    entry::{Entry, Phase, Waiter},
};

/// Orders by key.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Store {
    entries: BTreeMap<Key, Entry>,
    /// Orders that wait for the log, and orders for which a repeat waits.
    waiting: BTreeSet<Key>,
    /// Orders whose answers are stored, oldest first.
    answered: VecDeque<Key>,
    answer_bytes: usize,
}

impl Store {
    pub(crate) fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// The order's entry, for changes that have no method of their own.
    pub(crate) fn get_mut(&mut self, key: &Key) -> Option<&mut Entry> {
        self.entries.get_mut(key)
    }

    pub(crate) fn insert(&mut self, key: Key, entry: Entry) {
        self.waiting.insert(key);
        self.entries.insert(key, entry);
    }

    /// Records an outcome and returns the requests to answer with it. Evicts the oldest answers
    /// beyond `limit` bytes; the fact that their orders were executed stays recorded.
    pub(crate) fn finish(&mut self, key: &Key, outcome: Outcome, limit: usize) -> Vec<Waiter> {
        let Some(entry) = self.entries.get_mut(key) else { return Vec::new() };
        let res = entry.take_waiters();
        if let Outcome::Done(answer) = &outcome {
            self.answer_bytes += answer.size();
            self.answered.push_back(*key);
        }
        entry.phase = Phase::Finished(outcome);
        self.waiting.remove(key);
        self.evict_answers(limit);
        res
    }

    pub(crate) fn remove(&mut self, key: &Key) -> Option<Entry> {
        self.waiting.remove(key);
        let entry = self.entries.remove(key)?;
        if let Phase::Finished(Outcome::Done(answer)) = &entry.phase {
            self.answer_bytes -= answer.size();
            self.answered.retain(|it| it != key);
        }
        Some(entry)
    }

    /// Orders that wait for the log, and orders for which a repeat waits.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.waiting.iter().filter_map(|key| Some((key, self.entries.get(key)?)))
    }

    /// Keys from `first` to `last`, both included.
    pub(crate) fn keys(&self, first: Key, last: Key) -> Vec<Key> {
        self.entries.range(first..=last).map(|(key, _)| *key).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Memory used by stored answers, in bytes.
    pub(crate) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Removes a waiting request; returns the keys of orders that wait for the log and that it was
    /// to execute.
    pub(crate) fn remove_waiter(&mut self, ticket: Ticket) -> Vec<Key> {
        let mut res = Vec::new();
        for key in &self.waiting {
            let Some(entry) = self.entries.get_mut(key) else { continue };
            entry.waiters.retain(|it| it.ticket != ticket);
            if entry.runner.ticket == ticket && entry.is_waiting_for_log() {
                res.push(*key);
            }
        }
        res
    }

    /// Marks an order as ready; returns the request that executes it.
    pub(crate) fn make_ready(&mut self, key: &Key) -> Option<Ticket> {
        let entry = self.entries.get_mut(key)?;
        entry.phase = Phase::Ready;
        if entry.waiters.is_empty() {
            self.waiting.remove(key);
        }
        Some(entry.runner.ticket)
    }

    /// Adds a repeat that waits for an order.
    pub(crate) fn add_waiter(&mut self, key: &Key, waiter: Waiter) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.waiters.push(waiter);
        self.waiting.insert(*key);
    }

    /// Removes and returns the repeats whose deadline has passed.
    pub(crate) fn expire_waiters(&mut self, now: Instant) -> Vec<Ticket> {
        let mut res = Vec::new();
        for key in &self.waiting {
            let Some(entry) = self.entries.get_mut(key) else { continue };
            let (late, kept) = entry.waiters.iter().partition(|it| it.deadline <= now);
            entry.waiters = kept;
            let late: Vec<Waiter> = late;
            res.extend(late.iter().map(|it| it.ticket));
        }
        res
    }

    fn evict_answers(&mut self, limit: usize) {
        while self.answer_bytes > limit {
            let Some(key) = self.answered.pop_front() else { return };
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            if let Phase::Finished(Outcome::Done(answer)) = &entry.phase {
                self.answer_bytes -= answer.size();
                entry.phase = Phase::Finished(Outcome::Unkept);
            }
        }
    }
}

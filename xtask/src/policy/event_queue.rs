//! A priority queue of events, ordered by time.

use std::{cmp::Ordering, collections::BinaryHeap};

/// An event and its time. The ordering is reversed for the max-heap: an earlier event is greater,
/// and among events of the same time the one that was pushed first.
#[derive(Debug)]
struct Item<E> {
    at_s: f64,
    sequence: u64,
    event: E,
}

/// A priority queue that returns events in order of their time.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    items: BinaryHeap<Item<E>>,
    sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { items: BinaryHeap::new(), sequence: 0 }
    }
}

impl<E> EventQueue<E> {
    pub(crate) fn push(&mut self, at_s: f64, event: E) {
        self.sequence += 1;
        self.items.push(Item { at_s, sequence: self.sequence, event });
    }

    pub(crate) fn pop(&mut self) -> Option<(f64, E)> {
        self.items.pop().map(|it| (it.at_s, it.event))
    }
}

impl<E> Ord for Item<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = other.at_s.total_cmp(&self.at_s);
        by_time.then(other.sequence.cmp(&self.sequence))
    }
}

impl<E> PartialOrd for Item<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Eq for Item<E> {}

impl<E> PartialEq for Item<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

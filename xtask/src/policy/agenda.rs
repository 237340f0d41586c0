//! Events in the order of their time.

use std::{cmp::Ordering, collections::BinaryHeap};

/// An event and its time; earlier ones are greater, and of equal times the one scheduled first.
#[derive(Debug)]
struct Item<E> {
    at_s: f64,
    sequence: u64,
    event: E,
}

/// Events in the order of their time.
#[derive(Debug)]
pub(crate) struct Agenda<E> {
    items: BinaryHeap<Item<E>>,
    sequence: u64,
}

impl<E> Default for Agenda<E> {
    fn default() -> Self {
        Self { items: BinaryHeap::new(), sequence: 0 }
    }
}

impl<E> Agenda<E> {
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

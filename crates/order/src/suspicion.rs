//! Incarnations that don't answer.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::Incarnation;

/// Incarnations remembered at once.
const LIMIT: usize = 256;

/// When an incarnation did not answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Span {
    first: Instant,
    last: Instant,
}

/// Incarnations that don't answer, and since when; requests with short deadlines add up.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Suspicion {
    spans: BTreeMap<Incarnation, Span>,
}

impl Suspicion {
    /// Notes a failed call; returns whether the incarnation has not answered for `period`. Failures
    /// further apart than `period` don't add up.
    pub(crate) fn fail(&mut self, of: Incarnation, period: Duration, now: Instant) -> bool {
        self.spans.retain(|_, it| now.saturating_duration_since(it.last) <= period);
        if self.spans.len() >= LIMIT {
            self.spans.pop_first();
        }
        let span = self.spans.entry(of).or_insert(Span { first: now, last: now });
        span.last = now;
        now.saturating_duration_since(span.first) >= period
    }

    /// Notes an answer.
    pub(crate) fn clear(&mut self, of: Incarnation) {
        self.spans.remove(&of);
    }
}

//! Failure detection for other incarnations.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::Incarnation;

/// Maximum number of tracked incarnations.
const LIMIT: usize = 256;

/// First and last failed call to an incarnation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Span {
    first: Instant,
    last: Instant,
}

/// Incarnations that don't answer, and since when. Failures of different requests are combined, so
/// that an issuer is detected even if each request's deadline is short.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Suspicion {
    spans: BTreeMap<Incarnation, Span>,
}

impl Suspicion {
    /// Records a failed call; returns whether the incarnation has not answered for `period`.
    /// Failures more than `period` apart are not combined.
    pub(crate) fn record_failure(
        &mut self,
        of: Incarnation,
        period: Duration,
        now: Instant,
    ) -> bool {
        self.spans.retain(|_, it| now.saturating_duration_since(it.last) <= period);
        if self.spans.len() >= LIMIT {
            self.spans.pop_first();
        }
        let span = self.spans.entry(of).or_insert(Span { first: now, last: now });
        span.last = now;
        now.saturating_duration_since(span.first) >= period
    }

    /// Records an answer, which ends the suspicion.
    pub(crate) fn record_answer(&mut self, of: Incarnation) {
        self.spans.remove(&of);
    }
}

//! Batches records, to limit the number of appends to the log.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use crate::{
    Batch, Body, Claim, Fingerprint, Finished, Incarnation, Key, Record, Settings, Started, Stream,
    action::Action,
};

/// An order that waits for its record to be appended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Pending {
    pub(crate) key: Key,
    pub(crate) fingerprint: Fingerprint,
}

/// Kind of content of an append; kinds are served round-robin, so that none starves the others.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
enum Kind {
    #[default]
    Revocation,
    Claims,
    Orders,
}

impl Kind {
    fn next(self) -> Self {
        match self {
            Self::Revocation => Self::Claims,
            Self::Claims => Self::Orders,
            Self::Orders => Self::Revocation,
        }
    }
}

/// The content of an append whose result must be handled.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Content {
    /// Started or claimed orders.
    Orders(Vec<Key>),
    /// A revocation.
    Revocation(Incarnation),
}

/// Batches records for the log.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Batcher {
    started: VecDeque<Pending>,
    claimed: VecDeque<Pending>,
    finished: VecDeque<Finished>,
    finished_since: Option<Instant>,
    revocations: VecDeque<Incarnation>,
    in_flight: BTreeMap<Batch, Content>,
    next_batch: Batch,
    next_append: Option<Instant>,
    /// Kind at which the search for the next content starts.
    turn: Kind,
}

impl Batcher {
    pub(crate) fn push_started(&mut self, pending: Pending) {
        self.started.push_back(pending);
    }

    pub(crate) fn push_claim(&mut self, pending: Pending) {
        self.claimed.push_back(pending);
    }

    pub(crate) fn push_revocation(&mut self, incarnation: Incarnation) {
        self.revocations.push_back(incarnation);
    }

    pub(crate) fn push_finished(&mut self, finished: Finished, limit: usize, now: Instant) {
        if self.finished.len() >= limit {
            self.finished.pop_front();
        }
        self.finished.push_back(finished);
        self.finished_since.get_or_insert(now);
    }

    /// Removes an order that was aborted before its append.
    pub(crate) fn withdraw(&mut self, key: &Key) {
        self.started.retain(|it| it.key != *key);
        self.claimed.retain(|it| it.key != *key);
    }

    /// Drops all content for the stream of the current incarnation, which was revoked.
    pub(crate) fn clear_own_stream(&mut self) {
        self.started.clear();
        self.finished.clear();
        self.finished_since = None;
    }

    /// Removes an append that has ended, and returns its content.
    pub(crate) fn complete(&mut self, batch: Batch) -> Option<Content> {
        self.in_flight.remove(&batch)
    }

    /// When the next append is due; `None` if there is none, or if the limit of appends in flight
    /// is reached.
    pub(crate) fn next_wakeup(&self, settings: &Settings, now: Instant) -> Option<Instant> {
        if self.in_flight.len() >= settings.append_limit {
            return None;
        }
        let ready = !self.started.is_empty()
            || !self.claimed.is_empty()
            || !self.revocations.is_empty()
            || self.finished.len() >= settings.batch_limit;
        let due = if ready {
            Some(now)
        } else {
            self.finished_since.map(|it| it + settings.outcome_delay)
        };
        due.map(|it| self.next_append.map_or(it, |next| next.max(it)))
    }

    /// The append that is due, if any, and the keys of the orders in it.
    pub(crate) fn flush(
        &mut self,
        incarnation: Incarnation,
        settings: &Settings,
        now: Instant,
    ) -> Option<(Action, Vec<Key>)> {
        if self.next_wakeup(settings, now).is_none_or(|it| it > now) {
            return None;
        }
        let (stream, body, content) = self.next_content(incarnation, settings.batch_limit);
        let batch = self.next_batch;
        self.next_batch += 1;
        self.next_append = Some(now + settings.append_interval);
        let keys = match &content {
            Content::Orders(keys) => keys.clone(),
            Content::Revocation(_) => Vec::new(),
        };
        self.in_flight.insert(batch, content);
        let record = Record::new(body).encode();
        Some((Action::Append { batch, stream, record }, keys))
    }

    fn next_content(&mut self, own: Incarnation, limit: usize) -> (Stream, Body, Content) {
        let kind = self.next_kind();
        self.turn = kind.next();
        match kind {
            Kind::Revocation => self.next_revocation(own, limit),
            Kind::Claims => self.next_claims(own, limit),
            Kind::Orders => self.next_orders(own, limit),
        }
    }

    /// The first kind, from `turn` on, that has content; outcomes alone do not count as content.
    fn next_kind(&self) -> Kind {
        let mut kind = self.turn;
        while !self.has_pending(kind) && kind.next() != self.turn {
            kind = kind.next();
        }
        if self.has_pending(kind) { kind } else { Kind::Orders }
    }

    fn has_pending(&self, kind: Kind) -> bool {
        match kind {
            Kind::Revocation => !self.revocations.is_empty(),
            Kind::Claims => !self.claimed.is_empty(),
            Kind::Orders => !self.started.is_empty(),
        }
    }

    fn next_revocation(&mut self, own: Incarnation, limit: usize) -> (Stream, Body, Content) {
        let Some(it) = self.revocations.pop_front() else { return self.next_orders(own, limit) };
        (Stream::Orders(it), Body::Revoked { by: own }, Content::Revocation(it))
    }

    fn next_claims(&mut self, own: Incarnation, limit: usize) -> (Stream, Body, Content) {
        let batch: Vec<Pending> = take_front(&mut self.claimed, limit);
        let claims = batch.iter().filter_map(|it| Claim::of(it.key, it.fingerprint)).collect();
        let keys = batch.iter().map(|it| it.key).collect();
        (Stream::Claims, Body::Claims { owner: own, claims }, Content::Orders(keys))
    }

    fn next_orders(&mut self, own: Incarnation, limit: usize) -> (Stream, Body, Content) {
        let batch: Vec<Pending> = take_front(&mut self.started, limit);
        let started = batch.iter().filter_map(|it| Started::of(it.key, it.fingerprint)).collect();
        let finished = take_front(&mut self.finished, limit);
        if self.finished.is_empty() {
            self.finished_since = None;
        }
        let keys = batch.iter().map(|it| it.key).collect();
        (Stream::Orders(own), Body::Orders { started, finished }, Content::Orders(keys))
    }
}

fn take_front<T>(queue: &mut VecDeque<T>, limit: usize) -> Vec<T> {
    let count = queue.len().min(limit);
    queue.drain(..count).collect()
}

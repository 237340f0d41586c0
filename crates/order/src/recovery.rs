//! Recovery of the outcomes of another incarnation's orders from the log.

use std::collections::BTreeMap;

use crate::{
    Body, Fingerprint, Key, Number, Offset, Outcome, Reason, Session, Started, session::Journal,
};

/// An order in the journal.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Order {
    fingerprint: Fingerprint,
    outcome: Option<Outcome>,
}

/// The journal of another incarnation, up to its revocation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Recovery {
    /// Offset from which the stream is read.
    from: Offset,
    /// Whether the revocation has been read, after which the journal is final.
    sealed: bool,
    /// Whether the log dropped a record, or this release can't read one.
    incomplete: bool,
    orders: BTreeMap<(u64, Number), Order>,
}

impl Recovery {
    pub(crate) fn new(from: Offset) -> Self {
        Self { from, sealed: false, incomplete: false, orders: BTreeMap::new() }
    }

    /// Whether the journal has been read up to the revocation.
    pub(crate) fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Whether the journal is read from `base` or earlier, so that it has every record of a session
    /// with that base.
    pub(crate) fn covers(&self, base: Offset) -> bool {
        self.from <= base
    }

    /// Processes the next record.
    pub(crate) fn read(&mut self, body: Body) {
        if self.sealed {
            return;
        }
        match body {
            Body::Orders { started, finished } => {
                for it in started {
                    self.record(it, None);
                }
                for it in finished {
                    self.record(it.order, Some(it.outcome));
                }
            }
            Body::Revoked { .. } => self.sealed = true,
            Body::Claims { .. } => {}
        }
    }

    /// Records that a record is missing or can't be read.
    pub(crate) fn mark_incomplete(&mut self) {
        self.incomplete = true;
    }

    /// The outcome of an order of the incarnation; valid once the journal is sealed.
    pub(crate) fn outcome(&self, key: &Key, fingerprint: Fingerprint) -> Outcome {
        let Key::Numbered { session: Session { nonce, journal: Journal::From(base), .. }, number } =
            *key
        else {
            return Outcome::Unknown(Reason::IssuerGone);
        };
        match self.orders.get(&(nonce, number)) {
            Some(it) if it.fingerprint != fingerprint => Outcome::NotRun(Reason::Mismatch),
            Some(it) => it.outcome.clone().unwrap_or(Outcome::Unknown(Reason::IssuerGone)),
            None if self.incomplete || !self.covers(base) => Outcome::Unknown(Reason::IssuerGone),
            None => Outcome::NotRun(Reason::Revoked),
        }
    }

    fn record(&mut self, order: Started, outcome: Option<Outcome>) {
        let entry = self
            .orders
            .entry((order.nonce, order.number))
            .or_insert(Order { fingerprint: order.fingerprint, outcome: None });
        if outcome.is_some() {
            entry.outcome = outcome;
        }
    }
}

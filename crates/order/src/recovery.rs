//! What the log says about the orders of another incarnation.

use std::collections::BTreeMap;

use crate::{
    Body, Fingerprint, Key, Number, Offset, Outcome, Reason, Session, Started, session::Journal,
};

/// An order of the incarnation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Trace {
    fingerprint: Fingerprint,
    outcome: Option<Outcome>,
}

/// The journal of another incarnation, up to its revocation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Recovery {
    /// Offset from which the stream was read.
    from: Offset,
    /// Whether the revocation was read.
    sealed: bool,
    /// Whether some record was dropped by the log, or can't be read by this release.
    incomplete: bool,
    traces: BTreeMap<(u64, Number), Trace>,
}

impl Recovery {
    pub(crate) fn new(from: Offset) -> Self {
        Self { from, sealed: false, incomplete: false, traces: BTreeMap::new() }
    }

    /// Whether the journal is read up to the revocation.
    pub(crate) fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Whether every record of a session is covered.
    pub(crate) fn covers(&self, base: Offset) -> bool {
        self.from <= base
    }

    /// Takes in the next record.
    pub(crate) fn read(&mut self, body: Body) {
        if self.sealed {
            return;
        }
        match body {
            Body::Orders { started, finished } => {
                for it in started {
                    self.note(it, None);
                }
                for it in finished {
                    self.note(it.order, Some(it.outcome));
                }
            }
            Body::Revoked { .. } => self.sealed = true,
            Body::Claims { .. } => {}
        }
    }

    /// Notes that a record is missing or can't be read.
    pub(crate) fn mark_incomplete(&mut self) {
        self.incomplete = true;
    }

    /// The outcome of an order of the incarnation, once sealed.
    pub(crate) fn outcome(&self, key: &Key, fingerprint: Fingerprint) -> Outcome {
        let Key::Numbered { session: Session { nonce, journal: Journal::From(base), .. }, number } =
            *key
        else {
            return Outcome::Unknown(Reason::IssuerGone);
        };
        match self.traces.get(&(nonce, number)) {
            Some(it) if it.fingerprint != fingerprint => Outcome::NotRun(Reason::Mismatch),
            Some(it) => it.outcome.clone().unwrap_or(Outcome::Unknown(Reason::IssuerGone)),
            None if self.incomplete || !self.covers(base) => Outcome::Unknown(Reason::IssuerGone),
            None => Outcome::NotRun(Reason::Revoked),
        }
    }

    fn note(&mut self, order: Started, outcome: Option<Outcome>) {
        let trace = self
            .traces
            .entry((order.nonce, order.number))
            .or_insert(Trace { fingerprint: order.fingerprint, outcome: None });
        if outcome.is_some() {
            trace.outcome = outcome;
        }
    }
}

//! Issue, renewal and end of sessions.

use std::time::Instant;

use super::Engine;
use crate::{
    Incarnation, Key, Lease, Number, Session, Stream, action::Action, issuer::Issuer,
    session::Journal,
};

impl Engine {
    /// Issues a session; `nonce` is drawn at random by the caller. It is journaled if that is wanted
    /// and the log answers.
    ///
    /// Returns nothing if too many sessions are held, or while a new incarnation is being drawn.
    pub fn issue(&mut self, journaled: bool, nonce: u64, now: Instant) -> Option<Lease> {
        let held: usize = self.issuers.values().map(|it| it.tenures.len()).sum();
        let issuer = self.issuers.get_mut(&self.current)?;
        if issuer.retired || held >= self.settings.session_limit {
            return None;
        }
        let journal =
            if journaled && self.log_up { Journal::From(issuer.next) } else { Journal::Off };
        let session = Session { incarnation: self.current, nonce, journal };
        let life = self.settings.session_ttl;
        issuer.insert(session, now + life).then_some(Lease { session, ttl: life })
    }

    /// Extends the life of a session that was issued here.
    ///
    /// Returns nothing if the session has ended, is journaled while the log is down, or belongs to
    /// an incarnation that was revoked; the caller needs a new one.
    pub fn renew(&mut self, session: &Session, now: Instant) -> Option<Lease> {
        let log_up = self.log_up;
        let life = self.settings.session_ttl;
        let issuer = self.issuers.get_mut(&session.incarnation).filter(|it| !it.retired)?;
        let tenure = issuer.tenure_mut(session)?;
        let is_usable = session.journal == Journal::Off || log_up;
        if tenure.closed || tenure.expires <= now || !is_usable {
            return None;
        }
        issuer.extend(session, now + life);
        Some(Lease { session: *session, ttl: life })
    }

    /// Starts another incarnation beside those whose sessions live on.
    pub(super) fn incarnate(&mut self, incarnation: Incarnation, acts: &mut Vec<Action>) {
        if self.issuers.contains_key(&incarnation) {
            return;
        }
        self.issuers.insert(incarnation, Issuer::default());
        self.current = incarnation;
        acts.push(Action::Follow(Stream::Orders(incarnation), 0));
    }

    /// Forgets sessions whose end lies back far enough, and incarnations without any.
    pub(super) fn expire_sessions(&mut self, now: Instant) {
        let grace = self.settings.session_grace;
        let over: Vec<Session> =
            self.issuers.values_mut().flat_map(|it| it.expire(grace, now)).collect();
        for session in over {
            self.forget_orders(session, Number::MAX);
        }
        let current = self.current;
        self.issuers.retain(|it, issuer| *it == current || !issuer.tenures.is_empty());
    }

    /// Forgets the finished orders of a session up to a number.
    pub(super) fn forget_orders(&mut self, session: Session, last: Number) {
        let first = Key::Numbered { session, number: 0 };
        let last = Key::Numbered { session, number: last };
        for key in self.store.keys(first, last) {
            if self.store.get(&key).is_some_and(crate::entry::Entry::is_finished) {
                self.store.remove(&key);
            }
        }
    }
}

//! Issue, renewal and expiry of sessions.

use std::time::Instant;

use super::Engine;
use crate::{
    Incarnation, Key, Lease, Number, Session, Stream, action::Action, issuer::Issuer,
    session::Journal,
};

impl Engine {
    /// Issues a session; the caller must choose `nonce` at random. The session is journaled if
    /// `journaled` is set and the log is reachable.
    ///
    /// Returns `None` if the limit of sessions is reached, or if the current incarnation is revoked
    /// and a new one has not started yet.
    pub fn issue(&mut self, journaled: bool, nonce: u64, now: Instant) -> Option<Lease> {
        let count: usize = self.issuers.values().map(|it| it.grants.len()).sum();
        let issuer = self.issuers.get_mut(&self.current)?;
        if issuer.revoked || count >= self.settings.session_limit {
            return None;
        }
        let journal =
            if journaled && self.log_up { Journal::From(issuer.next_offset) } else { Journal::Off };
        let session = Session { incarnation: self.current, nonce, journal };
        let ttl = self.settings.session_ttl;
        issuer.insert(session, now + ttl).then_some(Lease { session, ttl })
    }

    /// Renews a session that was issued here.
    ///
    /// Returns `None` if the session has ended, is journaled while the log is down, or belongs to
    /// an incarnation that was revoked; the caller then needs a new session.
    pub fn renew(&mut self, session: &Session, now: Instant) -> Option<Lease> {
        let log_up = self.log_up;
        let ttl = self.settings.session_ttl;
        let issuer = self.issuers.get_mut(&session.incarnation).filter(|it| !it.revoked)?;
        let grant = issuer.grant_mut(session)?;
        let is_usable = session.journal == Journal::Off || log_up;
        if grant.closed || grant.expires <= now || !is_usable {
            return None;
        }
        issuer.extend(session, now + ttl);
        Some(Lease { session: *session, ttl })
    }

    /// Starts a new incarnation; earlier ones remain until their sessions have expired.
    pub(super) fn start_incarnation(
        &mut self,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        if self.issuers.contains_key(&incarnation) {
            return;
        }
        self.issuers.insert(incarnation, Issuer::default());
        self.current = incarnation;
        actions.push(Action::Follow(Stream::Orders(incarnation), 0));
    }

    /// Removes expired sessions after their grace period, and incarnations without sessions.
    pub(super) fn expire_sessions(&mut self, now: Instant) {
        let grace = self.settings.session_grace;
        let expired: Vec<Session> =
            self.issuers.values_mut().flat_map(|it| it.expire(grace, now)).collect();
        for session in expired {
            self.remove_finished(session, Number::MAX);
        }
        let current = self.current;
        self.issuers.retain(|it, issuer| *it == current || !issuer.grants.is_empty());
    }

    /// Removes the finished orders of a session up to a number.
    pub(super) fn remove_finished(&mut self, session: Session, last: Number) {
        let first = Key::Numbered { session, number: 0 };
        let last = Key::Numbered { session, number: last };
        for key in self.store.keys(first, last) {
            if self.store.get(&key).is_some_and(crate::entry::Entry::is_finished) {
                self.store.remove(&key);
            }
        }
    }
}

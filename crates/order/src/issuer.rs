//! One incarnation of this daemon, with the sessions that it issued.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    time::{Duration, Instant},
};

use crate::{Number, Offset, Session};

/// The state of a session at its issuer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Grant {
    pub(crate) session: Session,
    /// Time after which no new order is accepted.
    pub(crate) expires: Instant,
    /// Highest acknowledged number.
    pub(crate) acknowledged: Number,
    /// Whether new numbers are permanently refused.
    pub(crate) closed: bool,
}

/// One incarnation of this daemon.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Issuer {
    /// Whether the incarnation has been revoked, and must never dispatch a journaled order again.
    pub(crate) revoked: bool,
    /// Offset of the next record to read from its stream.
    pub(crate) next_offset: Offset,
    /// Sessions by nonce.
    pub(crate) grants: BTreeMap<u64, Grant>,
    /// End of each session, with its nonce.
    ends: BTreeSet<(Instant, u64)>,
}

impl Issuer {
    /// The session's state, if this incarnation issued exactly this session.
    pub(crate) fn grant_mut(&mut self, session: &Session) -> Option<&mut Grant> {
        self.grants.get_mut(&session.nonce).filter(|it| it.session == *session)
    }

    /// Adds a session; returns whether its nonce was unused.
    pub(crate) fn insert(&mut self, session: Session, expires: Instant) -> bool {
        let Entry::Vacant(slot) = self.grants.entry(session.nonce) else { return false };
        slot.insert(Grant { session, expires, acknowledged: 0, closed: false });
        self.ends.insert((expires, session.nonce));
        true
    }

    /// Extends a session to `expires`.
    pub(crate) fn extend(&mut self, session: &Session, expires: Instant) {
        let Some(grant) = self.grants.get_mut(&session.nonce) else { return };
        self.ends.remove(&(grant.expires, session.nonce));
        self.ends.insert((expires, session.nonce));
        grant.expires = expires;
    }

    /// Removes and returns the sessions that ended at least `grace` ago.
    pub(crate) fn expire(&mut self, grace: Duration, now: Instant) -> Vec<Session> {
        let mut res = Vec::new();
        while let Some(&(expires, nonce)) = self.ends.first() {
            if expires + grace > now {
                break;
            }
            self.ends.pop_first();
            res.extend(self.grants.remove(&nonce).map(|it| it.session));
        }
        res
    }
}

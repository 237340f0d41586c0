//! One incarnation of this daemon, and the sessions that it issued.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    time::{Duration, Instant},
};

use crate::{Number, Offset, Session};

/// The state of a session at its issuer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Tenure {
    pub(crate) session: Session,
    /// When new orders stop.
    pub(crate) expires: Instant,
    /// Highest acknowledged number.
    pub(crate) floor: Number,
    /// Whether no new number is taken any more, ever.
    pub(crate) closed: bool,
}

/// One incarnation of this daemon.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Issuer {
    /// Whether it may dispatch no more journaled orders, for good.
    pub(crate) retired: bool,
    /// Offset of the next record to read from its stream.
    pub(crate) next: Offset,
    /// Sessions by their random part.
    pub(crate) tenures: BTreeMap<u64, Tenure>,
    /// When each session ends, by its random part.
    ends: BTreeSet<(Instant, u64)>,
}

impl Issuer {
    /// The session, if it was issued here as given.
    pub(crate) fn tenure_mut(&mut self, session: &Session) -> Option<&mut Tenure> {
        self.tenures.get_mut(&session.nonce).filter(|it| it.session == *session)
    }

    /// Adds a session; returns whether its random part was free.
    pub(crate) fn insert(&mut self, session: Session, expires: Instant) -> bool {
        let Entry::Vacant(slot) = self.tenures.entry(session.nonce) else { return false };
        slot.insert(Tenure { session, expires, floor: 0, closed: false });
        self.ends.insert((expires, session.nonce));
        true
    }

    /// Moves the end of a session.
    pub(crate) fn extend(&mut self, session: &Session, expires: Instant) {
        let Some(tenure) = self.tenures.get_mut(&session.nonce) else { return };
        self.ends.remove(&(tenure.expires, session.nonce));
        self.ends.insert((expires, session.nonce));
        tenure.expires = expires;
    }

    /// Removes and returns the sessions whose end lies further back than `grace`.
    pub(crate) fn expire(&mut self, grace: Duration, now: Instant) -> Vec<Session> {
        let mut res = Vec::new();
        while let Some(&(expires, nonce)) = self.ends.first() {
            if expires + grace > now {
                break;
            }
            self.ends.pop_first();
            res.extend(self.tenures.remove(&nonce).map(|it| it.session));
        }
        res
    }
}

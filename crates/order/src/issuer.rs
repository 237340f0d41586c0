//! One incarnation of this daemon, and the sessions that it issued.

use std::{
    collections::BTreeMap,
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
}

impl Issuer {
    /// The session, if it was issued here as given.
    pub(crate) fn tenure_mut(&mut self, session: &Session) -> Option<&mut Tenure> {
        self.tenures.get_mut(&session.nonce).filter(|it| it.session == *session)
    }

    /// Removes and returns the sessions whose end lies further back than `grace`.
    pub(crate) fn expire(&mut self, grace: Duration, now: Instant) -> Vec<Session> {
        let is_over = |it: &Tenure| it.expires + grace <= now;
        let res = self.tenures.values().filter(|it| is_over(it)).map(|it| it.session).collect();
        self.tenures.retain(|_, it| !is_over(it));
        res
    }
}

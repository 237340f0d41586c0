//! A daemon that finishes its work.

use std::time::Instant;

use super::Stopped;

/// A daemon that finishes its work.
///
/// Callers that still hold directions to it are served until these have expired; later requests are
/// turned away to another entry host. Work in progress is finished, however long it takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Leaving {
    turns_away_at: Instant,
}

/// What to do with a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Serve it: the caller's directions are still valid.
    Serve,
    /// Refuse it as not run, with the directions to other entry hosts.
    Redirect,
}

impl Leaving {
    pub(super) fn new(turns_away_at: Instant) -> Self {
        Self { turns_away_at }
    }

    /// What to do with a request that arrives now.
    #[must_use]
    pub fn admit(&self, now: Instant) -> Verdict {
        if now < self.turns_away_at { Verdict::Serve } else { Verdict::Redirect }
    }

    /// Ends the daemon's life if the directions to it have expired and `in_progress`, the count of
    /// requests and undelivered answers, is zero.
    ///
    /// # Errors
    ///
    /// Gives itself back if it is too early.
    pub fn finish(self, in_progress: usize, now: Instant) -> Result<Stopped, Self> {
        if in_progress > 0 || self.admit(now) == Verdict::Serve {
            return Err(self);
        }
        Ok(Stopped)
    }
}

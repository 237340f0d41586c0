//! A daemon that is leaving.

use std::time::Instant;

use super::Stopped;

/// A daemon that is leaving.
///
/// Callers with directions to it are served until these have expired; later requests are redirected
/// to other entry hosts. Work in progress is finished without a time limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Leaving {
    redirects_at: Instant,
}

/// How to handle a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Serve it, because the caller's directions may still be valid.
    Serve,
    /// Refuse it as not run, with directions to other entry hosts.
    Redirect,
}

impl Leaving {
    pub(super) fn new(redirects_at: Instant) -> Self {
        Self { redirects_at }
    }

    /// How to handle a request that arrives now.
    #[must_use]
    pub fn admit(&self, now: Instant) -> Verdict {
        if now < self.redirects_at { Verdict::Serve } else { Verdict::Redirect }
    }

    /// Stops the daemon if the directions to it have expired and `in_progress`, the number of
    /// requests and undelivered answers, is zero.
    ///
    /// # Errors
    ///
    /// Returns `self` unchanged if these conditions are not met.
    pub fn finish(self, in_progress: usize, now: Instant) -> Result<Stopped, Self> {
        if in_progress > 0 || self.admit(now) == Verdict::Serve {
            return Err(self);
        }
        Ok(Stopped)
    }
}

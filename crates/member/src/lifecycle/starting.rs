//! A daemon without a configuration.

use super::{Ready, Stopped};

/// A daemon without a configuration; it is not listed in directions and serves no requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Starting;

impl Starting {
    /// Called once a configuration is in force.
    #[must_use]
    pub fn ready(self) -> Ready {
        Ready
    }

    /// Stops the daemon before it has served any request.
    #[must_use]
    pub fn stop(self) -> Stopped {
        Stopped
    }
}

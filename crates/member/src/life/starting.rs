//! A daemon without a configuration.

use super::{Ready, Stopped};

/// A daemon without a configuration; it is in no directions and serves nothing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Starting;

impl Starting {
    /// A configuration is in force.
    #[must_use]
    pub fn ready(self) -> Ready {
        Ready
    }

    /// The daemon is to stop before it ever served.
    #[must_use]
    pub fn stop(self) -> Stopped {
        Stopped
    }
}

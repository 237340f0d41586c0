//! The life cycle of a daemon: starting, ready, leaving, stopped.
//!
//! Each phase is a separate type, whose methods are the valid transitions.

mod leaving;
mod ready;
mod starting;

pub use leaving::{Leaving, Verdict};
pub use ready::Ready;
pub use starting::Starting;

use crate::Phase;

/// A daemon that has no work left and may exit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stopped;

/// A daemon in any phase.
#[derive(Clone, Copy, Debug)]
pub enum Lifecycle {
    /// The daemon has no configuration yet.
    Starting(Starting),
    /// The daemon serves requests.
    Ready(Ready),
    /// The daemon finishes its work.
    Leaving(Leaving),
    /// The daemon may exit.
    Stopped(Stopped),
}

impl Lifecycle {
    /// The phase to report to peers.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match self {
            Self::Starting(_) => Phase::Starting,
            Self::Ready(_) => Phase::Ready,
            Self::Leaving(_) | Self::Stopped(_) => Phase::Leaving,
        }
    }
}

//! The life cycle of a daemon: starting, ready, leaving, stopped.
//!
//! Each phase is a type of its own, and only the steps that exist lead from one to the next.

mod leaving;
mod ready;
mod starting;

pub use leaving::{Leaving, Verdict};
pub use ready::Ready;
pub use starting::Starting;

use crate::Phase;

/// A daemon that holds no work and may end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stopped;

/// A daemon in any phase, for those who keep it in one place.
#[derive(Clone, Copy, Debug)]
pub enum Lifecycle {
    /// It has no configuration yet.
    Starting(Starting),
    /// It serves.
    Ready(Ready),
    /// It finishes its work.
    Leaving(Leaving),
    /// It may end.
    Stopped(Stopped),
}

impl Lifecycle {
    /// The phase to tell peers.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match self {
            Self::Starting(_) => Phase::Starting,
            Self::Ready(_) => Phase::Ready,
            Self::Leaving(_) | Self::Stopped(_) => Phase::Leaving,
        }
    }
}

//! What can happen next.

use order::Stream;

/// What can happen next; numbers are positions in the lists of the state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// A caller sends a request to a host.
    Send { request: usize, host: usize },
    /// An append takes effect, and is answered.
    Land { host: usize, append: usize },
    /// An append takes effect twice, and is answered.
    LandTwice { host: usize, append: usize },
    /// An append's answer is lost; the record may land later.
    LoseAppend { host: usize, append: usize },
    /// An append is refused by the log that is down.
    Refuse { host: usize, append: usize },
    /// A record that was given up on takes effect.
    LandLate { append: usize },
    /// A host reads the next record of a stream.
    Read { host: usize, stream: Stream },
    /// A call reaches its addressee.
    Deliver { host: usize, call: usize },
    /// The answer of a call arrives.
    Return { host: usize, call: usize },
    /// A call fails at its sender; it may arrive later.
    FailCall { host: usize, call: usize },
    /// A call that was given up on arrives.
    DeliverLate { call: usize },
    /// A request asks for its permit and dispatches.
    Dispatch { host: usize, runner: usize },
    /// A dispatch could not be sent.
    Unsend { host: usize, runner: usize },
    /// The backend server runs an order.
    Execute { host: usize, runner: usize },
    /// The backend server's answer arrives whole.
    Answer { host: usize, runner: usize },
    /// The backend server's answer is cut.
    Cut { host: usize, runner: usize },
    /// A dispatch of a dead daemon reaches the backend server.
    ExecuteLate { dispatch: usize },
    /// A daemon dies.
    Crash { host: usize },
    /// A daemon is started again.
    Restart { host: usize },
    /// The log goes down.
    Outage,
    /// The log comes back.
    Recovery,
    /// A host finds out whether the log answers.
    Notice { host: usize },
    /// The log drops all records of a stream.
    Trim { stream: Stream },
    /// The clock moves on. A host is paused while others act and the clock moves.
    Clock,
    /// A host looks after its timers.
    Tick { host: usize },
}

impl Step {
    /// Whether the step is a fault, which random runs make rarely.
    pub(crate) fn is_fault(&self) -> bool {
        matches!(
            self,
            Self::LandTwice { .. }
                | Self::LoseAppend { .. }
                | Self::FailCall { .. }
                | Self::Unsend { .. }
                | Self::Cut { .. }
                | Self::Crash { .. }
                | Self::Outage
                | Self::Trim { .. }
        )
    }
}

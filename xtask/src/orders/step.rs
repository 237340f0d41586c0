//! Steps of the model.

use order::Stream;

/// A transition to a next state. Numbers are indices into the lists of the state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// A caller sends a request to a host.
    Send { request: usize, host: usize },
    /// An append takes effect and is acknowledged.
    Land { host: usize, append: usize },
    /// An append takes effect twice and is acknowledged.
    LandTwice { host: usize, append: usize },
    /// An append times out. It may take effect later.
    LoseAppend { host: usize, append: usize },
    /// The log refuses an append because it is down.
    Refuse { host: usize, append: usize },
    /// An append that has timed out takes effect.
    LandLate { append: usize },
    /// A host reads the next record of a stream.
    Read { host: usize, stream: Stream },
    /// A call arrives at its destination.
    Deliver { host: usize, call: usize },
    /// The answer of a call arrives.
    Return { host: usize, call: usize },
    /// A call fails at its sender. It may arrive later.
    FailCall { host: usize, call: usize },
    /// A call that has failed at its sender arrives.
    DeliverLate { call: usize },
    /// A request obtains its permit and is dispatched.
    Dispatch { host: usize, runner: usize },
    /// A dispatch could not be sent.
    Unsend { host: usize, runner: usize },
    /// The backend server runs an order.
    Execute { host: usize, runner: usize },
    /// The backend server's answer arrives completely.
    Answer { host: usize, runner: usize },
    /// The connection breaks before the backend server's answer is complete.
    Cut { host: usize, runner: usize },
    /// A dispatch of a crashed daemon reaches the backend server.
    ExecuteLate { dispatch: usize },
    /// A daemon crashes.
    Crash { host: usize },
    /// A crashed daemon restarts.
    Restart { host: usize },
    /// The log becomes unavailable.
    Outage,
    /// The log becomes available again.
    Recovery,
    /// A host detects whether the log is available.
    Notice { host: usize },
    /// The log drops all records of a stream.
    Trim { stream: Stream },
    /// The clock advances. A paused host is modelled by steps of other hosts and of the clock in
    /// between.
    Clock,
    /// A host processes its timers.
    Tick { host: usize },
}

impl Step {
    /// Whether the step is a fault. Random walks choose faults rarely.
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

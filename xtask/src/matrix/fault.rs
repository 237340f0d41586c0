//! The faults that the cells of the matrix inject.

/// A fault of a backend server, the platform, the callers, the operators or an entry host.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) enum Fault {
    Slow,
    SuddenSlow,
    Drain,
    FailFast,
    Refused,
    Reset,
    Cut,
    Late,
    Swapped,
    BulkFlood,
    UrgentFlood,
    LogDown,
    LogSlow,
    LogAnswerLost,
    HostListStale,
    HostPaused,
    EditorsRace,
    HostKilled,
    HostLeaving,
    PeersCut,
    PeersCutOneWay,
}

/// All faults with their names in the output.
pub(super) const FAULTS: [(Fault, &str); 21] = [
    (Fault::Slow, "slow"),
    (Fault::SuddenSlow, "sudden-slow"),
    (Fault::Drain, "drain"),
    (Fault::FailFast, "fail-fast"),
    (Fault::Refused, "refused"),
    (Fault::Reset, "reset-mid-answer"),
    (Fault::Cut, "answer-cut"),
    (Fault::Late, "answer-late"),
    (Fault::Swapped, "answer-swapped"),
    (Fault::BulkFlood, "bulk-flood"),
    (Fault::UrgentFlood, "urgent-flood"),
    (Fault::LogDown, "log-down"),
    (Fault::LogSlow, "log-slow"),
    (Fault::LogAnswerLost, "log-answer-lost"),
    (Fault::HostListStale, "host-list-stale"),
    (Fault::HostPaused, "lease-lapsed-while-paused"),
    (Fault::EditorsRace, "editors-race"),
    (Fault::HostKilled, "entry-host-killed"),
    (Fault::HostLeaving, "entry-host-leaving"),
    (Fault::PeersCut, "peers-cut-both-ways"),
    (Fault::PeersCutOneWay, "peers-cut-one-way"),
];

impl Fault {
    pub(super) fn name(self) -> &'static str {
        FAULTS.iter().find(|(it, _)| *it == self).map_or("", |(_, name)| name)
    }
}

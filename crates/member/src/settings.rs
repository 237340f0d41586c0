//! Periods, timeouts and limits of the membership protocol.

use std::time::Duration;

/// Periods, timeouts and limits of the membership protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time between two rounds of heartbeats.
    pub period: Duration,
    /// Number of members to which heartbeats are sent in a round.
    pub fanout: usize,
    /// Number of candidate addresses, not yet members, to which heartbeats are sent in a round.
    pub candidate_fanout: usize,
    /// Maximum number of rumors in a message to send.
    pub rumors: usize,
    /// Maximum number of loads in a message to send.
    pub loads: usize,
    /// Time without a heartbeat after which a host is suspected.
    pub suspect_after: Duration,
    /// Consecutive unanswered heartbeats, without newer rumors of the host, after which it is
    /// suspected.
    pub suspect_misses: u32,
    /// Time without a heartbeat after which a host is removed.
    pub remove_after: Duration,
    /// Age after which a peer's loads are ignored.
    pub load_lifetime: Duration,
    /// Time without suspicion after which a host with two flaps counts as live again; it doubles
    /// with each further flap, up to `damping_limit`.
    pub damping: Duration,
    /// Maximum time without suspicion that a host needs after a flap.
    pub damping_limit: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            fanout: 2,
            candidate_fanout: 4,
            rumors: 20,
            loads: 32,
            suspect_after: Duration::from_secs(10),
            suspect_misses: 2,
            remove_after: Duration::from_mins(2),
            load_lifetime: Duration::from_secs(10),
            damping: Duration::from_secs(2),
            damping_limit: Duration::from_mins(1),
        }
    }
}

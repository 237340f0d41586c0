//! Times and bounds of membership.

use std::time::Duration;

/// Times and bounds of membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time between two rounds of heartbeats.
    pub period: Duration,
    /// Heartbeats sent to members in a round.
    pub fanout: usize,
    /// Heartbeats sent in a round to addresses that are not members yet.
    pub candidate_fanout: usize,
    /// Rumors in one message.
    pub rumors: usize,
    /// Loads in one message.
    pub loads: usize,
    /// Silence after which a host is suspected.
    pub suspect_after: Duration,
    /// Unanswered heartbeats in a row, without other news, after which a host is suspected.
    pub suspect_misses: u32,
    /// Silence after which a host is forgotten.
    pub forget_after: Duration,
    /// Age after which a peer's loads no longer count.
    pub load_lifetime: Duration,
    /// Time without suspicion that a host needs after its second return in a row; it doubles with
    /// each further return, up to `hold_limit`.
    pub hold: Duration,
    /// Longest time without suspicion that a host needs after a return.
    pub hold_limit: Duration,
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
            forget_after: Duration::from_mins(2),
            load_lifetime: Duration::from_secs(10),
            hold: Duration::from_secs(2),
            hold_limit: Duration::from_mins(1),
        }
    }
}

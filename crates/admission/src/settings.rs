//! Settings of a gate.

use std::time::Duration;

/// Settings of a gate.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Largest number of waiting requests of each rank.
    pub queue_limit: usize,
    /// Part of the time that a request can wait, in percent, that the expected wait may take up;
    /// a request that would wait longer is refused at once.
    pub wait_limit_percent: u8,
    /// Part of the time that a request can wait, in percent, after which the caller's newest
    /// request goes first; 100 keeps the order of arrival.
    pub newest_first_after_percent: u8,
    /// Part of more urgent ranks' floors, in percent, that long work may not borrow as far as
    /// these ranks' recent use reaches.
    pub headroom_percent: u8,
    /// Work that takes longer than this counts as long.
    pub long_work: Duration,
    /// Shortest advice to a refused caller.
    pub min_retry_after: Duration,
    /// Longest advice to a refused caller.
    pub max_retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            queue_limit: 1024,
            wait_limit_percent: 75,
            newest_first_after_percent: 75,
            headroom_percent: 100,
            long_work: Duration::from_millis(100),
            min_retry_after: Duration::from_millis(10),
            max_retry_after: Duration::from_secs(5),
        }
    }
}

//! Settings of a gate.

use std::time::Duration;

/// Settings of a gate.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of waiting requests per rank.
    pub queue_limit: usize,
    /// Maximum expected wait, in percent of the time that a request can wait; a request that would
    /// wait longer is refused at once.
    pub wait_limit_percent: u8,
    /// Wait of a caller's oldest request, in percent of the time that it can wait, after which the
    /// caller's newest request is served first; 100 keeps the order of arrival.
    pub newest_first_after_percent: u8,
    /// Part of more urgent ranks' floors, in percent, that long requests may not borrow while
    /// recent usage indicates that those ranks will need it.
    pub headroom_percent: u8,
    /// Requests with a longer service time than this count as long.
    pub long_work_threshold: Duration,
    /// Minimum retry delay given to a refused caller.
    pub min_retry_after: Duration,
    /// Maximum retry delay given to a refused caller.
    pub max_retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            queue_limit: 1024,
            wait_limit_percent: 75,
            newest_first_after_percent: 75,
            headroom_percent: 100,
            long_work_threshold: Duration::from_millis(100),
            min_retry_after: Duration::from_millis(10),
            max_retry_after: Duration::from_secs(5),
        }
    }
}

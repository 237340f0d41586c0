//! Settings of a gate.

use std::time::Duration;

/// Which of a caller's waiting requests goes first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Discipline {
    /// Always the oldest.
    OldestFirst,
    /// The oldest, but the newest once the oldest has used up half of the time that it can wait.
    #[default]
    NewestUnderOverload,
}

/// Settings of a gate.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Largest number of waiting requests of each rank.
    pub queue_limit: usize,
    /// Which of a caller's waiting requests goes first.
    pub discipline: Discipline,
    /// Share of the slots that long work leaves free for more urgent ranks, in percent, as far as
    /// these ranks' own floors reach.
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
            discipline: Discipline::default(),
            headroom_percent: 25,
            long_work: Duration::from_millis(100),
            min_retry_after: Duration::from_millis(10),
            max_retry_after: Duration::from_secs(5),
        }
    }
}

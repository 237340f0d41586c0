//! Faults of the log.

use std::time::Duration;

/// Faults of the log; the default is none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Every request is answered with status 503 and takes no effect.
    pub down: bool,
    /// Every request is swallowed: no effect and no answer.
    pub silent: bool,
    /// Time that every request waits before it is looked at.
    pub delay: Duration,
    /// Number of coming appends that take effect and are never answered.
    pub lost_answers: u32,
    /// Number of coming appends that are recorded twice.
    pub duplicates: u32,
}

impl Faults {
    pub(super) fn take_lost_answer(&mut self) -> bool {
        take_one(&mut self.lost_answers)
    }

    pub(super) fn take_duplicate(&mut self) -> bool {
        take_one(&mut self.duplicates)
    }
}

fn take_one(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}

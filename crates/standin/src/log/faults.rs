//! Faults of the log.

use std::time::Duration;

/// Faults of the log; the default is none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Every request is answered with status 503 and has no effect.
    pub down: bool,
    /// Every request is dropped: it has no effect and gets no answer.
    pub silent: bool,
    /// Delay before every request is handled.
    pub delay: Duration,
    /// Number of next appends that take effect but are never answered.
    pub lost_answers: u32,
    /// Number of next appends that are stored twice.
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

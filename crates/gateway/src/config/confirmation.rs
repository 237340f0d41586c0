//! When a configuration was last known to be the newest.

use std::time::Duration;

use super::{Knowledge, Version};
use crate::{platform::Era, registry::REWRITE_TIME};

/// Time since boot, including suspension.
pub type BootTime = Duration;

/// When the configuration in force was last known to be the newest.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Confirmation {
    /// Latest moment at which nothing newer existed.
    confirmed_at: Option<BootTime>,
    /// Whether the newest configuration of the store can't be read.
    is_unreadable: bool,
    /// Whether the store has records that were not read yet.
    is_incomplete: bool,
    /// Latest era of the store that was read.
    era: Era,
    /// Until when reads confirm nothing, since the store may lack a configuration that it had.
    unsettled_until: BootTime,
}

impl Confirmation {
    /// Records whether the newest configuration of the store can't be read.
    pub fn set_unreadable(&mut self, is_unreadable: bool) {
        self.is_unreadable = is_unreadable;
    }

    /// Records that a read ended before the end of the topic.
    pub fn miss_records(&mut self) {
        self.is_incomplete = true;
    }

    /// Records that the store had nothing newer at the moment `at`, as a complete read that ended at
    /// `now` shows. After the store has come back from an older copy, operators need time to write
    /// again what it has lost.
    pub fn confirm_read(&mut self, era: Era, at: BootTime, now: BootTime) {
        self.is_incomplete = false;
        if era > self.era {
            self.era = era;
            self.unsettled_until = now + REWRITE_TIME;
        }
        if era == self.era && at >= self.unsettled_until {
            self.confirm(at);
        }
    }

    /// Records that nothing newer existed at the moment `at`.
    pub fn confirm(&mut self, at: BootTime) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Time since the latest moment at which nothing newer existed.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at.filter(|_| !self.is_unreadable).map(|it| now.saturating_sub(it))
    }

    /// How much is known about whether `own`, the version in force, is the newest. `newest` is the
    /// highest version of it and the live peers' ones. A confirmation counts for less than `max_age`.
    #[must_use]
    pub fn knowledge(
        &self,
        own: Version,
        newest: Version,
        now: BootTime,
        max_age: Duration,
    ) -> Knowledge {
        match self.age(now) {
            _ if own == 0 => Knowledge::Missing,
            _ if self.is_unreadable => Knowledge::Unreadable,
            _ if own < newest || self.is_incomplete => Knowledge::Behind,
            Some(it) if it < max_age => Knowledge::Recent,
            _ => Knowledge::Outdated,
        }
    }
}

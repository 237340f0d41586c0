//! When a configuration was last known to be the newest.

use std::time::Duration;

use super::{Knowledge, Version};
use crate::platform::Era;

/// Time since boot, including suspension.
pub type BootTime = Duration;

/// Time after the store has come back from an older copy by which operators' records are written again,
/// as those of upstreams are. Until then it may lack a configuration that it had.
const REWRITE_TIME: Duration = Duration::from_millis(2_300);

/// What a daemon knows about which configuration is the newest.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Confirmation {
    /// Highest version that is known to exist.
    newest: Version,
    /// Whether the newest configuration can't be read, so that its version is not known.
    is_unreadable: bool,
    /// Latest moment at which nothing newer existed.
    confirmed_at: Option<BootTime>,
    /// Latest era of the store that was read.
    era: Era,
    /// Until when reads of the store confirm nothing.
    unsettled_until: BootTime,
}

impl Confirmation {
    /// Highest version that is known to exist.
    #[must_use]
    pub fn newest(&self) -> Version {
        self.newest
    }

    /// Records that a version exists.
    pub fn announce(&mut self, version: Version) {
        self.newest = self.newest.max(version);
    }

    /// Records that a version has come into force.
    pub fn put_in_force(&mut self, version: Version) {
        self.announce(version);
        self.is_unreadable = false;
    }

    /// Records that the newest configuration of the store can't be read.
    pub fn reject(&mut self) {
        self.is_unreadable = true;
    }

    /// Records that the store was read at the moment `at`, in the era `era`, and had nothing newer than
    /// `version`.
    pub fn confirm_read(&mut self, version: Version, era: Era, at: BootTime) {
        if era > self.era {
            self.era = era;
            self.unsettled_until = at + REWRITE_TIME;
        }
        if era == self.era && at >= self.unsettled_until {
            self.confirm(version, at);
        }
    }

    /// Records that at the moment `at` nothing newer than `version` existed.
    pub fn confirm(&mut self, version: Version, at: BootTime) {
        self.announce(version);
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Time since the latest moment at which nothing newer than [`Self::newest`] existed.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at.filter(|_| !self.is_unreadable).map(|it| now.saturating_sub(it))
    }

    /// How much is known about whether `own`, the version in force, is the newest. A confirmation counts
    /// for less than `max_age`.
    #[must_use]
    pub fn knowledge(&self, own: Version, now: BootTime, max_age: Duration) -> Knowledge {
        match self.age(now) {
            _ if own == 0 => Knowledge::Missing,
            _ if self.is_unreadable => Knowledge::Unreadable,
            _ if own < self.newest => Knowledge::Behind,
            Some(it) if it < max_age => Knowledge::Recent,
            _ => Knowledge::Outdated,
        }
    }
}

//! When a configuration was last known to be the newest.

use std::time::Duration;

use super::{Knowledge, Version};

/// Time since boot, including suspension.
pub type BootTime = Duration;

/// What a daemon knows about which configuration is the newest.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Confirmation {
    /// Highest version that is known to exist.
    newest: Version,
    /// Whether the newest configuration can't be read, so that its version is not known.
    is_unreadable: bool,
    /// Latest moment at which nothing newer existed.
    confirmed_at: Option<BootTime>,
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

    /// Records that at the moment `at` nothing newer than `version` existed.
    pub fn confirm(&mut self, version: Version, at: BootTime) {
        self.announce(version);
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Time since the moment of the last confirmation.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at.map(|it| now.saturating_sub(it))
    }

    /// How much is known about whether `own`, the version in force, is the newest. A confirmation counts
    /// for less than `max_age`.
    #[must_use]
    pub fn knowledge(&self, own: Version, now: BootTime, max_age: Duration) -> Knowledge {
        match self.age(now) {
            _ if own == 0 => Knowledge::Missing,
            _ if own < self.newest || self.is_unreadable => Knowledge::Behind,
            Some(it) if it < max_age => Knowledge::Recent,
            _ => Knowledge::Outdated,
        }
    }
}

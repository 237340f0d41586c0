//! Decides when a host appends a snapshot.
//!
//! All hosts apply the same rules, and each adds its own jitter before it writes, so that usually
//! only one of them writes. There is no leader election: duplicate snapshots are harmless.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Fold, Offset, snapshot};

/// Conditions under which a host appends a snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Number of records after the newest snapshot at which the next one is due.
    pub max_records: Offset,
    /// Age of the newest snapshot at which the next one is due; well below the log's retention.
    pub max_age: Duration,
    /// Maximum delay before a host writes a snapshot that is due.
    pub max_jitter: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_records: 256,
            max_age: Duration::from_hours(1),
            max_jitter: Duration::from_secs(30),
        }
    }
}

/// Schedules the snapshots of one host.
#[derive(Clone, Debug)]
pub struct Schedule {
    settings: Settings,
    /// Name of this host, from which its jitter is derived.
    host: String,
    newest: Newest,
    due_at: Option<Instant>,
}

/// The newest usable snapshot that the host has read or written.
#[derive(Clone, Copy, Debug)]
struct Newest {
    end: Offset,
    /// Time of writing in the snapshot's header, which distinguishes snapshots with the same end.
    written_s: u64,
    written_at: Option<Instant>,
}

impl Schedule {
    /// Creates the schedule of `host` without a known snapshot.
    #[must_use]
    pub fn new(host: &str, settings: Settings) -> Self {
        let newest = Newest { end: 0, written_s: 0, written_at: None };
        Self { settings, host: host.to_owned(), newest, due_at: None }
    }

    /// Records that `record` was read from the stream of snapshots; unusable snapshots are ignored.
    ///
    /// `wall_s` is the wall-clock time in seconds since 1970, for the snapshot's age.
    pub fn observe(&mut self, record: &[u8], now: Instant, wall_s: u64) {
        let Ok(fold) = snapshot::decode(record) else { return };
        let written_s = snapshot::written_s(record);
        let is_same = (self.newest.end, self.newest.written_s) == (fold.end(), written_s);
        if is_same && self.newest.written_at.is_some() {
            // The delay that has started isn't reset.
            return;
        }
        let age = Duration::from_secs(wall_s.saturating_sub(written_s));
        let written_at = Some(now.checked_sub(age).unwrap_or(now));
        self.set_newest(Newest { end: fold.end(), written_s, written_at });
    }

    /// Records that this host appended a snapshot of all records before `end`.
    pub fn on_written(&mut self, end: Offset, now: Instant) {
        self.set_newest(Newest { end, written_s: 0, written_at: Some(now) });
    }

    /// Whether this host should append a snapshot of `fold` now.
    pub fn is_due(&mut self, fold: &Fold, now: Instant) -> bool {
        if !self.is_needed(fold, now) {
            self.due_at = None;
            return false;
        }
        let jitter = self.jitter();
        now >= *self.due_at.get_or_insert_with(|| now + jitter)
    }

    fn set_newest(&mut self, newest: Newest) {
        self.newest = newest;
        self.due_at = None;
    }

    fn is_needed(&self, fold: &Fold, now: Instant) -> bool {
        if fold.version().is_none() {
            return false;
        }
        let Some(written_at) = self.newest.written_at else { return true };
        let is_behind = fold.end().saturating_sub(self.newest.end) >= self.settings.max_records;
        is_behind || now.saturating_duration_since(written_at) >= self.settings.max_age
    }

    /// A pseudorandom delay that differs between hosts and between snapshots.
    fn jitter(&self) -> Duration {
        const STEPS: u32 = 1_024;
        let hash = xxh3_64_with_seed(self.host.as_bytes(), self.newest.end);
        let step = u32::try_from(hash % u64::from(STEPS)).unwrap_or(0);
        self.settings.max_jitter * step / STEPS
    }
}

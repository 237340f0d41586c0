//! An entry host with the daemon's replica and scheduling of snapshots, which can restart at any
//! time.

use std::time::{Duration, Instant};

use bytes::Bytes;
use cli::reader;
use document::{
    Fold, Offset, Replica, Version,
    replica::{Progress, State},
    snapshot::{self, Schedule},
};
use fastrand::Rng;
use platform::{Backoff, Log};

use super::{
    log::VirtualLog,
    options::{Guard, Options},
};

/// Interval at which a host polls the end of the log, as in the daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest backoff after a failed read, as in the daemon.
const BACKOFF_BASE: Duration = Duration::from_millis(200);
/// Longest backoff after a failed read, as in the daemon.
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);

/// An entry host.
pub(crate) struct Host {
    pub(crate) replica: Replica,
    /// Version in force, or `None` if the host isn't ready yet.
    pub(crate) in_force: Option<Version>,
    pub(crate) started: Duration,
    /// Time at which the host is running again after a restart.
    pub(crate) down_until: Duration,
    snapshot_schedule: Schedule,
    backoff: Backoff,
}

/// The result of one step.
pub(crate) struct Step {
    pub(crate) wait: Duration,
    /// Whether the fold has changed.
    pub(crate) has_changed: bool,
    pub(crate) from_peer: bool,
    pub(crate) has_written: bool,
}

impl Host {
    pub(crate) fn new(name: &str, settings: snapshot::Settings, now: Duration, rng: Rng) -> Self {
        Self {
            replica: Replica::default(),
            in_force: None,
            started: now,
            down_until: now,
            snapshot_schedule: Schedule::new(name, settings),
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_LIMIT, rng),
        }
    }

    /// Returns a snapshot for a peer that has read up to `end`, if this host is ready and has
    /// read further.
    pub(crate) fn offer(&self, end: Offset) -> Option<Bytes> {
        let fold = self.replica.fold();
        let is_newer = self.in_force.is_some() && fold.end() > end;
        is_newer.then(|| Bytes::from(snapshot::encode(fold, 0)))
    }

    /// Reads one page of the log. `peer` returns the snapshot that a running peer offers.
    pub(crate) fn step(
        &mut self,
        log: &VirtualLog,
        peer: impl FnOnce(Offset) -> Option<Bytes>,
        now: (Instant, u64),
        options: &Options,
    ) -> Step {
        let mut step =
            Step { wait: POLL_INTERVAL, has_changed: false, from_peer: false, has_written: false };
        if options.is_disabled(Guard::Recheck) && self.in_force.is_none() {
            self.apply_peer_snapshot(|_| newest_snapshot(log));
        }
        let Ok(progress) = reader::read_page(&mut self.replica, log) else {
            step.wait = self.backoff.failed();
            step.from_peer = self.apply_peer_snapshot(peer);
            step.has_changed = step.from_peer;
            return step;
        };
        self.backoff.succeeded();
        step.has_changed = progress.is_reset || !progress.evaluations.is_empty();
        if self.replica.state() == State::Gap {
            step.from_peer = self.apply_peer_snapshot(peer);
            step.has_changed |= step.from_peer;
        }
        if options.is_disabled(Guard::Current) {
            self.in_force = self.replica.fold().version();
        } else {
            self.put_in_force();
        }
        step.has_written = self.write_snapshot(&progress, log, now, options);
        step.wait = if progress.should_wait { POLL_INTERVAL } else { log.faults().latency };
        step
    }

    /// Applies the snapshot of a peer if it is newer.
    fn apply_peer_snapshot(&mut self, peer: impl FnOnce(Offset) -> Option<Bytes>) -> bool {
        let Some(record) = peer(self.replica.fold().end()) else { return false };
        let is_applied = self.replica.adopt_snapshot(&record).unwrap_or(false);
        if is_applied {
            self.put_in_force();
        }
        is_applied
    }

    fn put_in_force(&mut self) {
        self.in_force = self.replica.in_force().and_then(Fold::version);
    }

    fn write_snapshot(
        &mut self,
        progress: &Progress,
        log: &VirtualLog,
        (now, wall_s): (Instant, u64),
        options: &Options,
    ) -> bool {
        let fold = self.replica.fold();
        if options.is_disabled(Guard::Snapshot)
            || !progress.is_current
            || !self.snapshot_schedule.is_due(fold, now)
        {
            return false;
        }
        if let Some(record) = newest_snapshot(log) {
            self.snapshot_schedule.observe(&record, now, wall_s);
        }
        if !self.snapshot_schedule.is_due(fold, now) {
            return false;
        }
        let record = Bytes::from(snapshot::encode(fold, wall_s));
        let _ = log.append(snapshot::STREAM, &record);
        self.snapshot_schedule.on_written(fold.end(), now);
        true
    }
}

fn newest_snapshot(log: &VirtualLog) -> Option<Bytes> {
    let next = log.read(snapshot::STREAM, Offset::MAX, 1).ok()?.next;
    let page = log.read(snapshot::STREAM, next.checked_sub(1)?, 1).ok()?;
    page.records.into_iter().next().map(|it| it.data)
}

//! An entry host: the daemon's replica and snapshot duty, started anew at any time.

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
    options::{Guard, Options},
    store::Store,
};

/// Time between two looks at the log's end, as in the daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest and longest wait after a failed read, as in the daemon.
const BACKOFF_BASE: Duration = Duration::from_millis(200);
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);

/// An entry host.
pub(crate) struct Host {
    pub(crate) replica: Replica,
    /// Version in force; none as long as the host isn't ready.
    pub(crate) in_force: Option<Version>,
    pub(crate) started: Duration,
    /// Time until which the host isn't there.
    pub(crate) absent_until: Duration,
    duty: Schedule,
    backoff: Backoff,
}

/// What came of one step.
pub(crate) struct Step {
    pub(crate) wait: Duration,
    /// Whether the fold moved.
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
            absent_until: now,
            duty: Schedule::new(name, settings),
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_LIMIT, rng),
        }
    }

    /// A snapshot for a peer that has read up to `end`, if this host knows more.
    pub(crate) fn offer(&self, end: Offset) -> Option<Bytes> {
        let fold = self.replica.fold();
        let is_newer = self.in_force.is_some() && fold.end() > end;
        is_newer.then(|| Bytes::from(snapshot::encode(fold, 0)))
    }

    /// Reads one answer of the log; `peer` is what a live peer offers.
    pub(crate) fn step(
        &mut self,
        store: &Store,
        peer: impl FnOnce(Offset) -> Option<Bytes>,
        now: (Instant, u64),
        options: &Options,
    ) -> Step {
        let mut step =
            Step { wait: POLL_INTERVAL, has_changed: false, from_peer: false, has_written: false };
        if options.lacks(Guard::Recheck) && self.in_force.is_none() {
            self.ask(|_| newest_snapshot(store));
        }
        let Ok(progress) = reader::read_page(&mut self.replica, store) else {
            step.wait = self.backoff.failed();
            step.from_peer = self.ask(peer);
            step.has_changed = step.from_peer;
            return step;
        };
        self.backoff.succeeded();
        step.has_changed = progress.is_reset || !progress.evaluations.is_empty();
        if self.replica.state() == State::Gap {
            step.from_peer = self.ask(peer);
            step.has_changed |= step.from_peer;
        }
        if options.lacks(Guard::Current) {
            self.in_force = self.replica.fold().version();
        } else {
            self.put_in_force();
        }
        step.has_written = self.write_snapshot(&progress, store, now, options);
        step.wait = if progress.should_wait { POLL_INTERVAL } else { store.faults().latency };
        step
    }

    /// Takes a newer document from a peer.
    fn ask(&mut self, peer: impl FnOnce(Offset) -> Option<Bytes>) -> bool {
        let Some(record) = peer(self.replica.fold().end()) else { return false };
        let is_taken = self.replica.adopt_snapshot(&record).unwrap_or(false);
        if is_taken {
            self.put_in_force();
        }
        is_taken
    }

    fn put_in_force(&mut self) {
        self.in_force = self.replica.in_force().and_then(Fold::version);
    }

    fn write_snapshot(
        &mut self,
        progress: &Progress,
        store: &Store,
        (now, wall_s): (Instant, u64),
        options: &Options,
    ) -> bool {
        let fold = self.replica.fold();
        if options.lacks(Guard::Snapshot) || !progress.is_current || !self.duty.is_due(fold, now) {
            return false;
        }
        if let Some(record) = newest_snapshot(store) {
            self.duty.observe(&record, now, wall_s);
        }
        if !self.duty.is_due(fold, now) {
            return false;
        }
        let record = Bytes::from(snapshot::encode(fold, wall_s));
        let _ = store.append(snapshot::STREAM, &record);
        self.duty.on_written(fold.end(), now);
        true
    }
}

fn newest_snapshot(store: &Store) -> Option<Bytes> {
    let next = store.read(snapshot::STREAM, Offset::MAX, 1).ok()?.next;
    let page = store.read(snapshot::STREAM, next.checked_sub(1)?, 1).ok()?;
    page.records.into_iter().next().map(|it| it.data)
}

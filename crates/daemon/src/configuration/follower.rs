//! Reads the log, folds it, and writes snapshots.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use document::{
    Fold, Offset, Replica, Verdict, replica,
    snapshot::{self, Schedule},
};
use platform::{Backoff, Log};

use crate::{
    configuration::{Confirmation, Source},
    state::State,
};

/// Interval at which the end of the log is read.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum and maximum backoff after a failed read.
const BACKOFF_BASE: Duration = Duration::from_millis(200);
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);

/// Reads the log, folds it, and writes snapshots.
pub struct Follower {
    state: Arc<State>,
    log: Box<dyn Log>,
    peers: Box<dyn Source>,
    replica: Replica,
    schedule: Schedule,
    backoff: Backoff,
}

impl Follower {
    /// Creates a follower that has read nothing yet.
    #[must_use]
    pub fn new(state: Arc<State>, log: Box<dyn Log>, peers: Box<dyn Source>) -> Self {
        let incarnation = state.ids.incarnation();
        let rng = fastrand::Rng::with_seed(incarnation);
        Self {
            schedule: Schedule::new(&format!("{incarnation:016x}"), snapshot::Settings::default()),
            backoff: Backoff::new(BACKOFF_BASE, BACKOFF_LIMIT, rng),
            replica: Replica::default(),
            state,
            log,
            peers,
        }
    }

    /// Follows the log until `stop` is set.
    pub fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            let wait = self.step();
            thread::sleep(wait);
        }
    }

    /// Reads one page and returns how long to wait before the next.
    fn step(&mut self) -> Duration {
        let Some(request) = self.replica.request() else {
            // The log holds records that this release can't fold; the version in force stays.
            return POLL_INTERVAL;
        };
        let read_at = self.state.clock.since_boot();
        let progress = match self.log.read(request.stream, request.from, request.limit) {
            Ok(page) => {
                let records: Vec<_> =
                    page.records.into_iter().map(|it| (it.offset, it.data)).collect();
                self.replica.apply_page(page.first, page.next, &records)
            }
            Err(platform::Error::Gone { .. }) => self.replica.on_trimmed(),
            Err(e) => return self.read_failed(&e),
        };
        self.backoff.succeeded();
        if progress.is_current {
            self.confirm(read_at);
        }
        self.apply_progress(&progress);
        self.write_snapshot_if_due(&progress);
        if progress.should_wait { POLL_INTERVAL } else { Duration::ZERO }
    }

    /// Records that a read of the log that began at `at` showed nothing newer. To be called before a
    /// version is put in force, so that no request is refused by a version without a confirmation.
    fn confirm(&self, at: Duration) {
        let version = self.replica.in_force().and_then(Fold::version);
        self.state.confirm(Confirmation { version, at });
    }

    fn read_failed(&mut self, e: &platform::Error) -> Duration {
        log::warn!("the log can't be read: {e}");
        // The page may have exceeded the limit of an answer; the replica requests a smaller one.
        self.replica.on_failure();
        self.fetch_from_peers();
        self.backoff.failed()
    }

    /// Applies a newer configuration from a peer, if there is one; called while the log can't be
    /// read or lacks records.
    fn fetch_from_peers(&mut self) {
        let Some(record) = self.peers.newer_than(self.replica.fold().end()) else { return };
        match self.replica.adopt_snapshot(&record) {
            Ok(true) => self.put_in_force(),
            Ok(false) => {}
            Err(e) => log::warn!("snapshot from a peer refused: {e}"),
        }
    }

    fn apply_progress(&mut self, progress: &replica::Progress) {
        for it in &progress.warnings {
            log::warn!("configuration: {it}");
        }
        for it in &progress.evaluations {
            log_verdict(it.offset, &it.verdict);
        }
        if progress.has_new_version {
            self.put_in_force();
        }
        if self.replica.state() == replica::State::Gap {
            self.fetch_from_peers();
        }
        self.state.set_replica(self.replica.state(), self.replica.fold().end());
    }

    fn put_in_force(&self) {
        // While the replica catches up it passes old versions, which must not be put in force.
        let Some(fold) = self.replica.in_force() else { return };
        let Some(version) = fold.version() else { return };
        self.state.put_in_force(fold.document(), version);
        let snapshot = encode(fold, &self.state);
        self.state.set_snapshot(fold.end(), snapshot, snapshot::digest(fold));
    }

    fn write_snapshot_if_due(&mut self, progress: &replica::Progress) {
        let now = self.state.clock.now();
        if !progress.is_current || !self.schedule.is_due(self.replica.fold(), now) {
            return;
        }
        self.read_newest_snapshot();
        if !self.schedule.is_due(self.replica.fold(), now) {
            return;
        }
        let fold = self.replica.fold();
        match self.log.append(snapshot::STREAM, &encode(fold, &self.state)) {
            Ok(offset) => log::info!("snapshot of {} records at offset {offset}", fold.end()),
            Err(e) => log::warn!("append of a snapshot failed: {e}"),
        }
        // A failed append counts as written too: another host writes the next snapshot soon.
        self.schedule.on_written(fold.end(), now);
    }

    fn read_newest_snapshot(&mut self) {
        let Ok(end) = self.log.read(snapshot::STREAM, Offset::MAX, 1) else { return };
        let Some(last) = end.next.checked_sub(1) else { return };
        let Ok(page) = self.log.read(snapshot::STREAM, last, 1) else { return };
        for it in &page.records {
            self.schedule.observe(&it.data, self.state.clock.now(), unix_s(&self.state));
        }
    }
}

fn encode(fold: &Fold, state: &State) -> Bytes {
    Bytes::from(snapshot::encode(fold, unix_s(state)))
}

fn unix_s(state: &State) -> u64 {
    let since = state.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}

fn log_verdict(offset: Offset, verdict: &Verdict) {
    match verdict {
        Verdict::Accepted { version } => log::info!("publication {offset}: version {version}"),
        Verdict::Repeated { first } => {
            log::info!("publication {offset} ignored: repeats the publication at {first}");
        }
        Verdict::Rejected { findings, conflicts } => {
            for it in findings {
                log::warn!("publication {offset} rejected: {it}");
            }
            for it in conflicts {
                log::warn!("publication {offset} rejected: {it}");
            }
        }
        Verdict::Skipped { warning } => log::warn!("record {offset} skipped: {warning}"),
        Verdict::Halted { rules } => {
            log::error!("record {offset} needs fold rules {rules}: upgrade this host");
        }
    }
}

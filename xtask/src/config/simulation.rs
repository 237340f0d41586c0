//! A simulation of hosts and editors with faults, and the checks of its results.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use document::{Publication, Verdict, Version, publication, snapshot};
use fastrand::Rng;

use super::{
    content::{ADMIN, LARGE, SMALL, Size},
    editor::{Editor, Outcome},
    host::Host,
    log::{Faults, VirtualLog},
    options::Options,
    reference::Reference,
    stats::Stats,
};

const HOSTS: usize = 6;
const EDITORS: usize = 5;
/// Virtual time of a run during which changes are published and faults are injected.
const DURATION: Duration = Duration::from_mins(20);
const SMALL_DURATION: Duration = Duration::from_mins(10);
const LARGE_DURATION: Duration = Duration::from_mins(6);
/// Virtual time at the end of a run without new faults and changes.
const QUIET_PERIOD: Duration = Duration::from_mins(1);
/// Retention of the log. Much shorter than in production, so that records expire during a run.
const RETENTION: Duration = Duration::from_mins(8);
/// Settings for writing snapshots, reduced in proportion to the retention.
const SNAPSHOT_SETTINGS: snapshot::Settings = snapshot::Settings {
    max_records: 64,
    max_age: Duration::from_mins(2),
    max_jitter: Duration::from_secs(10),
};
/// Longest outage of the log, in milliseconds.
const MAX_OUTAGE_MS: u64 = 90_000;
/// Longest time from one fault to the next, in milliseconds.
const MAX_FAULT_INTERVAL_MS: u64 = 40_000;
/// Longest downtime of a restarted host, in milliseconds.
const MAX_DOWNTIME_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Actor {
    Host(usize),
    Editor(usize),
    Fault,
    Recovery,
}

/// The state of a simulation.
pub(crate) struct Simulation {
    options: Options,
    rng: Rng,
    origin: Instant,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, Actor)>>,
    sequence: u64,
    log: VirtualLog,
    reference: Reference,
    hosts: Vec<Host>,
    editors: Vec<Editor>,
    /// Start of the current period in which the log is up.
    up_since: Duration,
    /// Newest version that has been in force on all ready hosts at the same time.
    common_version: Option<Version>,
    stats: Stats,
}

impl Simulation {
    pub(crate) fn new(seed: u64, options: &Options) -> Self {
        let mut rng = Rng::with_seed(seed);
        let size = if options.is_large { LARGE } else { SMALL };
        let log = VirtualLog::new(RETENTION, rng.fork());
        log.inject(publication::STREAM, first_publication(size));
        let mut simulation = Self {
            options: *options,
            // Hosts subtract the age of snapshots from the current time, which must not underflow.
            origin: Instant::now() + Duration::from_hours(1),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            sequence: 0,
            log,
            reference: Reference::default(),
            hosts: Vec::new(),
            editors: (0..EDITORS).map(|it| Editor::new(it, size, rng.fork())).collect(),
            up_since: Duration::ZERO,
            common_version: None,
            stats: Stats::default(),
            rng,
        };
        for number in 0..HOSTS {
            let host = simulation.new_host(number, Duration::ZERO);
            simulation.hosts.push(host);
            simulation.schedule(Duration::from_millis(number as u64), Actor::Host(number));
        }
        for number in 0..EDITORS {
            simulation.schedule(Duration::from_secs(1), Actor::Editor(number));
        }
        simulation.schedule(Duration::from_secs(5), Actor::Fault);
        simulation.schedule(simulation.duration(), Actor::Recovery);
        simulation
    }

    /// Runs the simulation to its end and returns the statistics.
    pub(crate) fn run(mut self) -> Stats {
        let duration = self.duration();
        while let Some(Reverse((at, _, actor))) = self.queue.pop() {
            if at > duration + QUIET_PERIOD {
                break;
            }
            self.now = at;
            self.log.advance(at);
            let is_quiet = at > duration;
            match actor {
                Actor::Host(it) => self.step_host(it),
                Actor::Editor(it) if is_quiet && self.editors[it].is_idle() => {}
                Actor::Editor(it) => {
                    let wait = self.editors[it].step(&self.log, at, &self.options);
                    self.schedule(wait, actor);
                }
                Actor::Fault if is_quiet => {}
                Actor::Fault => self.inject_fault(),
                Actor::Recovery => self.restore_log(),
            }
            self.reference.catch_up(&self.log);
        }
        self.finish()
    }

    fn duration(&self) -> Duration {
        match self.options {
            Options { is_large: true, .. } => LARGE_DURATION,
            Options { is_small: true, .. } => SMALL_DURATION,
            _ => DURATION,
        }
    }

    fn schedule(&mut self, wait: Duration, actor: Actor) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + wait, self.sequence, actor)));
    }

    fn new_host(&mut self, number: usize, downtime: Duration) -> Host {
        self.stats.starts += 1;
        let name = format!("host {number} start {}", self.stats.starts);
        let now = self.now + downtime;
        Host::new(&name, SNAPSHOT_SETTINGS, now, self.rng.fork())
    }

    fn step_host(&mut self, number: usize) {
        let downtime = self.hosts[number].down_until.saturating_sub(self.now);
        if !downtime.is_zero() {
            return self.schedule(downtime, Actor::Host(number));
        }
        let before = self.hosts[number].in_force;
        let now = (self.origin + self.now, self.now.as_secs());
        let peer = (number + self.rng.usize(1..HOSTS)) % HOSTS;
        let Ok([host, peer]) = self.hosts.get_disjoint_mut([number, peer]) else { return };
        let started = Instant::now();
        let step = host.step(&self.log, |end| peer.offer(end), now, &self.options);
        let step_time = if self.options.is_large { started.elapsed() } else { Duration::ZERO };
        self.stats.from_peers += u64::from(step.from_peer && before.is_none());
        self.stats.snapshots += u64::from(step.has_written);
        if step.has_changed || self.hosts[number].in_force != before {
            self.reference.catch_up(&self.log);
            self.check_host(number, before, step_time);
        }
        self.schedule(step.wait + step_time, Actor::Host(number));
    }

    /// Compares a host's fold and its version in force with the reference and the other hosts.
    fn check_host(&mut self, number: usize, before: Option<Version>, step_time: Duration) {
        let host = &self.hosts[number];
        self.stats.disagreed += u64::from(!self.reference.agrees_with(host.replica.fold()));
        let Some(version) = host.in_force else { return };
        let is_older = before > Some(version) || self.common_version > Some(version);
        self.stats.reverted += u64::from(is_older);
        if before < Some(version) {
            self.record_latency(number, before, step_time);
        }
        let running = self.hosts.iter().filter(|it| it.down_until <= self.now);
        let lowest = running.filter_map(|it| it.in_force).min();
        self.common_version = self.common_version.max(lowest);
    }

    /// Records how long the first version after `before` has waited to be in force on a host.
    fn record_latency(&mut self, number: usize, before: Option<Version>, step_time: Duration) {
        if self.log.faults().is_down {
            return;
        }
        let Some(accepted) = self.reference.accepted_after(before) else { return };
        let since = accepted.max(self.hosts[number].started).max(self.up_since);
        let time = (self.now + step_time).saturating_sub(since);
        self.stats.in_force_max = self.stats.in_force_max.max(time);
    }

    /// Like [`Self::record_latency`], for a version that the host hasn't put in force yet.
    fn record_pending_latency(&mut self, number: usize) {
        if self.hosts[number].down_until <= self.now {
            self.record_latency(number, self.hosts[number].in_force, Duration::ZERO);
        }
    }

    fn inject_fault(&mut self) {
        let interval = Duration::from_millis(self.rng.u64(1..MAX_FAULT_INTERVAL_MS));
        let outage = Duration::from_millis(self.rng.u64(1..MAX_OUTAGE_MS));
        self.schedule(interval, Actor::Fault);
        match self.rng.u8(..9) {
            0 => self.stop_log(outage),
            1 => self.degrade_log(|it| it.latency = Duration::from_millis(300)),
            2 => self.degrade_log(|it| it.lost_answer_percent = 40),
            3 => self.degrade_log(|it| it.duplicated_percent = 40),
            4 => self.degrade_log(|it| (it.lost_answer_percent, it.duplicated_percent) = (30, 30)),
            5 => {
                let number = self.rng.usize(..HOSTS);
                self.restart(number);
            }
            6 => {
                self.stop_log(outage);
                self.restart_all();
            }
            7 => self.restart_all(),
            _ => self.append_garbage(),
        }
    }

    fn stop_log(&mut self, outage: Duration) {
        for number in 0..HOSTS {
            self.record_pending_latency(number);
        }
        self.log.update_faults(|it| it.is_down = true);
        self.schedule(outage, Actor::Recovery);
    }

    fn degrade_log(&mut self, change: impl FnOnce(&mut Faults)) {
        self.log.update_faults(change);
        let time = Duration::from_millis(self.rng.u64(1..MAX_FAULT_INTERVAL_MS));
        self.schedule(time, Actor::Recovery);
    }

    fn restore_log(&mut self) {
        if self.log.faults().is_down {
            self.up_since = self.now;
        }
        self.log.update_faults(|it| *it = Faults::default());
        self.log.advance(self.now);
    }

    /// Restarts all hosts at once. If the log is down, keeps one that has the newest common version
    /// or a later one.
    fn restart_all(&mut self) {
        let is_kept = |it: &Host| it.in_force.is_some() && it.in_force >= self.common_version;
        let kept = self.hosts.iter().position(is_kept).filter(|_| self.log.faults().is_down);
        for number in (0..HOSTS).filter(|it| Some(*it) != kept) {
            self.restart(number);
        }
    }

    fn restart(&mut self, number: usize) {
        self.record_pending_latency(number);
        let downtime = Duration::from_millis(self.rng.u64(1..MAX_DOWNTIME_MS));
        self.hosts[number] = self.new_host(number, downtime);
    }

    /// Appends records that are not valid publications or snapshots.
    fn append_garbage(&mut self) {
        let truncated = |it: Bytes| it.slice(..it.len() / 2);
        let last = |stream| self.log.last(stream).unwrap_or_default();
        let mut wrong_fold = self.reference.fold().clone();
        wrong_fold.apply(wrong_fold.end() + 1_000_000, b"");
        self.log.inject(publication::STREAM, Bytes::from_static(b"\xff foreign"));
        self.log.inject(publication::STREAM, truncated(last(publication::STREAM)));
        self.log.inject(snapshot::STREAM, truncated(last(snapshot::STREAM)));
        self.log.inject(snapshot::STREAM, Bytes::from(snapshot::encode(&wrong_fold, 0)));
    }

    fn finish(mut self) -> Stats {
        let version = self.reference.fold().version();
        for number in 0..HOSTS {
            self.record_pending_latency(number);
            self.stats.stuck += u64::from(self.hosts[number].in_force != version);
        }
        let outcomes: Vec<_> = self.editors.iter().flat_map(|it| it.outcomes.clone()).collect();
        for (id, outcome) in &outcomes {
            let verdict = self.reference.verdict(id);
            let is_accepted = matches!(verdict, Some(Verdict::Accepted { .. }));
            self.stats.publications += 1;
            self.stats.lost += u64::from(match outcome {
                Outcome::Accepted => !is_accepted,
                Outcome::Rejected | Outcome::Unpublished => is_accepted,
                Outcome::Unknown => false,
            });
            self.stats.rejected += u64::from(*outcome == Outcome::Rejected);
            self.stats.unpublished += u64::from(*outcome == Outcome::Unpublished);
            self.stats.unknown += u64::from(*outcome == Outcome::Unknown);
        }
        self.stats.accepted = self.reference.accepted();
        self.stats.lost += self.reference.lost;
        self.stats.doubled = self.reference.doubled();
        self.stats.repeated = self.reference.repeated;
        self.stats
    }
}

/// The publication that creates the document.
fn first_publication(size: Size) -> Bytes {
    let sections = document::split(&size.document()).expect("a valid document");
    let changes = publication::Change::between([], &sections);
    let publication = Publication {
        id: "first".into(),
        author: ADMIN.into(),
        base: 0,
        made_at_s: 0,
        note: "first".to_owned(),
        changes,
    };
    Bytes::from(publication.encode())
}

//! The run: who acts when, which faults come, and what is compared.

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
    editor::{Editor, Told},
    host::Host,
    options::Options,
    store::{Faults, Store},
    tally::Tally,
    truth::Truth,
};

const HOSTS: usize = 6;
const EDITORS: usize = 5;
/// Virtual length of a run before it calms down.
const LENGTH: Duration = Duration::from_mins(20);
const SMALL_LENGTH: Duration = Duration::from_mins(10);
const LARGE_LENGTH: Duration = Duration::from_mins(6);
/// Virtual time at the end of a run without new faults and new changes.
const CALM: Duration = Duration::from_mins(1);
/// How long the log keeps records; much shorter than a real one's, so that it matters in a run.
const RETENTION: Duration = Duration::from_mins(8);
/// When hosts write snapshots, scaled like the retention.
const SNAPSHOTS: snapshot::Settings = snapshot::Settings {
    max_records: 64,
    max_age: Duration::from_mins(2),
    max_jitter: Duration::from_secs(10),
};
/// Longest outage, in milliseconds.
const MAX_OUTAGE_MS: u64 = 90_000;
/// Longest time between two faults, in milliseconds.
const MAX_PEACE_MS: u64 = 40_000;
/// Longest time for which a restarted host is away, in milliseconds.
const MAX_ABSENCE_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Actor {
    Host(usize),
    Editor(usize),
    Fault,
    Heal,
}

/// One run.
pub(crate) struct World {
    options: Options,
    rng: Rng,
    origin: Instant,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, Actor)>>,
    sequence: u64,
    store: Store,
    truth: Truth,
    hosts: Vec<Host>,
    editors: Vec<Editor>,
    /// Time since which the log is up.
    up_since: Duration,
    /// Newest version that was in force on every ready host at once.
    floor: Option<Version>,
    tally: Tally,
}

impl World {
    pub(crate) fn new(seed: u64, options: &Options) -> Self {
        let mut rng = Rng::with_seed(seed);
        let size = if options.is_large { LARGE } else { SMALL };
        let store = Store::new(RETENTION, rng.fork());
        store.inject(publication::STREAM, first(size));
        let mut world = Self {
            options: *options,
            // Hosts look back from the present by the age of snapshots.
            origin: Instant::now() + Duration::from_hours(1),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            sequence: 0,
            store,
            truth: Truth::default(),
            hosts: Vec::new(),
            editors: (0..EDITORS).map(|it| Editor::new(it, size, rng.fork())).collect(),
            up_since: Duration::ZERO,
            floor: None,
            tally: Tally::default(),
            rng,
        };
        for number in 0..HOSTS {
            let host = world.new_host(number, Duration::ZERO);
            world.hosts.push(host);
            world.schedule(Duration::from_millis(number as u64), Actor::Host(number));
        }
        for number in 0..EDITORS {
            world.schedule(Duration::from_secs(1), Actor::Editor(number));
        }
        world.schedule(Duration::from_secs(5), Actor::Fault);
        world.schedule(world.length(), Actor::Heal);
        world
    }

    /// Runs to the end and returns what it has come to.
    pub(crate) fn run(mut self) -> Tally {
        let length = self.length();
        while let Some(Reverse((at, _, actor))) = self.queue.pop() {
            if at > length + CALM {
                break;
            }
            self.now = at;
            self.store.advance(at);
            let is_calm = at > length;
            match actor {
                Actor::Host(it) => self.step_host(it),
                Actor::Editor(it) if is_calm && self.editors[it].rests() => {}
                Actor::Editor(it) => {
                    let wait = self.editors[it].step(&self.store, at, &self.options);
                    self.schedule(wait, actor);
                }
                Actor::Fault if is_calm => {}
                Actor::Fault => self.bring_fault(),
                Actor::Heal => self.heal(),
            }
            self.truth.follow(&self.store);
        }
        self.finish()
    }

    fn length(&self) -> Duration {
        match self.options {
            Options { is_large: true, .. } => LARGE_LENGTH,
            Options { is_small: true, .. } => SMALL_LENGTH,
            _ => LENGTH,
        }
    }

    fn schedule(&mut self, wait: Duration, actor: Actor) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + wait, self.sequence, actor)));
    }

    fn new_host(&mut self, number: usize, absence: Duration) -> Host {
        self.tally.starts += 1;
        let name = format!("host {number} start {}", self.tally.starts);
        let now = self.now + absence;
        Host::new(&name, SNAPSHOTS, now, self.rng.fork())
    }

    fn step_host(&mut self, number: usize) {
        let absence = self.hosts[number].absent_until.saturating_sub(self.now);
        if !absence.is_zero() {
            return self.schedule(absence, Actor::Host(number));
        }
        let before = self.hosts[number].in_force;
        let now = (self.origin + self.now, self.now.as_secs());
        let peer = (number + self.rng.usize(1..HOSTS)) % HOSTS;
        let Ok([host, peer]) = self.hosts.get_disjoint_mut([number, peer]) else { return };
        let started = Instant::now();
        let step = host.step(&self.store, |end| peer.offer(end), now, &self.options);
        let cost = if self.options.is_large { started.elapsed() } else { Duration::ZERO };
        self.tally.from_peers += u64::from(step.from_peer && before.is_none());
        self.tally.snapshots += u64::from(step.has_written);
        if step.has_changed || self.hosts[number].in_force != before {
            self.truth.follow(&self.store);
            self.compare(number, before, cost);
        }
        self.schedule(step.wait + cost, Actor::Host(number));
    }

    /// Compares what a host has folded and put in force with the truth and with the other hosts.
    fn compare(&mut self, number: usize, before: Option<Version>, cost: Duration) {
        let host = &self.hosts[number];
        self.tally.disagreed += u64::from(!self.truth.agrees(host.replica.fold()));
        let Some(version) = host.in_force else { return };
        let is_older = before > Some(version) || self.floor > Some(version);
        self.tally.reverted += u64::from(is_older);
        if before < Some(version) {
            self.measure(number, before, cost);
        }
        let present = self.hosts.iter().filter(|it| it.absent_until <= self.now);
        let lowest = present.filter_map(|it| it.in_force).min();
        self.floor = self.floor.max(lowest);
    }

    /// Takes the time for which a host had a version later than `before` to put in force.
    fn measure(&mut self, number: usize, before: Option<Version>, cost: Duration) {
        if self.store.faults().is_down {
            return;
        }
        let Some(accepted) = self.truth.accepted_after(before) else { return };
        let since = accepted.max(self.hosts[number].started).max(self.up_since);
        let time = (self.now + cost).saturating_sub(since);
        self.tally.in_force_max = self.tally.in_force_max.max(time);
    }

    /// As [`World::measure`], for what a host hasn't put in force yet.
    fn measure_pending(&mut self, number: usize) {
        if self.hosts[number].absent_until <= self.now {
            self.measure(number, self.hosts[number].in_force, Duration::ZERO);
        }
    }

    fn bring_fault(&mut self) {
        let peace = Duration::from_millis(self.rng.u64(1..MAX_PEACE_MS));
        let outage = Duration::from_millis(self.rng.u64(1..MAX_OUTAGE_MS));
        self.schedule(peace, Actor::Fault);
        match self.rng.u8(..9) {
            0 => self.take_down(outage),
            1 => self.disturb(|it| it.latency = Duration::from_millis(300)),
            2 => self.disturb(|it| it.lost_percent = 40),
            3 => self.disturb(|it| it.twice_percent = 40),
            4 => self.disturb(|it| (it.lost_percent, it.twice_percent) = (30, 30)),
            5 => {
                let number = self.rng.usize(..HOSTS);
                self.restart(number);
            }
            6 => {
                self.take_down(outage);
                self.restart_all();
            }
            7 => self.restart_all(),
            _ => self.vandalize(),
        }
    }

    fn take_down(&mut self, outage: Duration) {
        for number in 0..HOSTS {
            self.measure_pending(number);
        }
        self.store.update(|it| it.is_down = true);
        self.schedule(outage, Actor::Heal);
    }

    fn disturb(&mut self, change: impl FnOnce(&mut Faults)) {
        self.store.update(change);
        let time = Duration::from_millis(self.rng.u64(1..MAX_PEACE_MS));
        self.schedule(time, Actor::Heal);
    }

    fn heal(&mut self) {
        if self.store.faults().is_down {
            self.up_since = self.now;
        }
        self.store.update(|it| *it = Faults::default());
        self.store.advance(self.now);
    }

    /// Restarts all hosts at once, all but one if the log is down.
    fn restart_all(&mut self) {
        let is_kept = |it: &Host| it.in_force.is_some() && it.in_force >= self.floor;
        let kept = self.hosts.iter().position(is_kept).filter(|_| self.store.faults().is_down);
        for number in (0..HOSTS).filter(|it| Some(*it) != kept) {
            self.restart(number);
        }
    }

    fn restart(&mut self, number: usize) {
        self.measure_pending(number);
        let absence = Duration::from_millis(self.rng.u64(1..MAX_ABSENCE_MS));
        self.hosts[number] = self.new_host(number, absence);
    }

    /// Appends what no publication and no snapshot is.
    fn vandalize(&mut self) {
        let torn = |it: Bytes| it.slice(..it.len() / 2);
        let last = |stream| self.store.last(stream).unwrap_or_default();
        let mut false_fold = self.truth.fold().clone();
        false_fold.apply(false_fold.end() + 1_000_000, b"");
        self.store.inject(publication::STREAM, Bytes::from_static(b"\xff foreign"));
        self.store.inject(publication::STREAM, torn(last(publication::STREAM)));
        self.store.inject(snapshot::STREAM, torn(last(snapshot::STREAM)));
        self.store.inject(snapshot::STREAM, Bytes::from(snapshot::encode(&false_fold, 0)));
    }

    fn finish(mut self) -> Tally {
        let version = self.truth.fold().version();
        for number in 0..HOSTS {
            self.measure_pending(number);
            self.tally.stuck += u64::from(self.hosts[number].in_force != version);
        }
        let told: Vec<_> = self.editors.iter().flat_map(|it| it.told.clone()).collect();
        for (id, told) in &told {
            let verdict = self.truth.verdict(id);
            let is_accepted = matches!(verdict, Some(Verdict::Accepted { .. }));
            self.tally.publications += 1;
            self.tally.lost += u64::from(match told {
                Told::Accepted => !is_accepted,
                Told::Rejected | Told::Unpublished => is_accepted,
                Told::Unknown => false,
            });
            self.tally.rejected += u64::from(*told == Told::Rejected);
            self.tally.unpublished += u64::from(*told == Told::Unpublished);
            self.tally.unknown += u64::from(*told == Told::Unknown);
        }
        self.tally.accepted = self.truth.accepted();
        self.tally.lost += self.truth.lost;
        self.tally.doubled = self.truth.doubled();
        self.tally.repeated = self.truth.repeated;
        self.tally
    }
}

/// The first publication.
fn first(size: Size) -> Bytes {
    let sections = document::split(&size.document()).expect("a sound document");
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

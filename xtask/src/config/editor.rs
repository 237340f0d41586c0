//! An editor who publishes changes with the command line's own means.

use std::time::Duration;

use cli::{Attempt, reader};
use document::{Publication, PublicationId, Replica, Verdict, replica::State};
use fastrand::Rng;
use platform::{Backoff, Log};

use super::{
    content::Size,
    options::{Guard, Options},
    store::Store,
};

/// Longest time for the log to take a publication, as in the command line.
const SUBMIT_LIMIT: Duration = Duration::from_secs(10);
/// Shortest and longest pause after the log gave no answer, as in the command line.
const PAUSE_BASE: Duration = Duration::from_millis(50);
const PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// Longest time that an editor ponders over a change, in milliseconds.
const MAX_THINK_MS: u64 = 15_000;
/// Longest time between two changes, in milliseconds.
const MAX_REST_MS: u64 = 12_000;

/// What an editor was told of a publication.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Told {
    Accepted,
    Rejected,
    Unpublished,
    Unknown,
}

/// An editor.
pub(crate) struct Editor {
    name: usize,
    count: u32,
    rng: Rng,
    size: Size,
    phase: Phase,
    /// What the editor was told, by publication.
    pub(crate) told: Vec<(PublicationId, Told)>,
}

enum Phase {
    Rest,
    Read(Box<Replica>),
    Append(Box<Sending>),
    Find(Box<Sending>),
}

struct Sending {
    replica: Box<Replica>,
    attempt: Attempt,
    /// Whether the last append has no answer.
    is_unanswered: bool,
    deadline: Duration,
    backoff: Backoff,
}

impl Editor {
    pub(crate) fn new(name: usize, size: Size, rng: Rng) -> Self {
        Self { name, count: 0, rng, size, phase: Phase::Rest, told: Vec::new() }
    }

    /// Whether no change is under way.
    pub(crate) fn rests(&self) -> bool {
        matches!(self.phase, Phase::Rest)
    }

    /// Does the next thing and returns the time until the one after it.
    pub(crate) fn step(&mut self, store: &Store, now: Duration, options: &Options) -> Duration {
        let latency = store.faults().latency;
        match std::mem::replace(&mut self.phase, Phase::Rest) {
            Phase::Rest => {
                self.phase = Phase::Read(Box::default());
                latency
            }
            Phase::Read(replica) => self.read(replica, store, now),
            Phase::Append(sending) => self.append(sending, store, options),
            Phase::Find(sending) => self.find(sending, store, now, options),
        }
    }

    fn read(&mut self, mut replica: Box<Replica>, store: &Store, now: Duration) -> Duration {
        let Ok(progress) = reader::read_page(&mut replica, store) else { return self.rest() };
        if !progress.should_wait {
            self.phase = Phase::Read(replica);
            return store.faults().latency;
        }
        if replica.state() != State::Following {
            return self.rest();
        }
        let think = Duration::from_millis(self.rng.u64(1..MAX_THINK_MS));
        let attempt = Attempt::new(self.publication(&replica));
        let backoff = Backoff::new(PAUSE_BASE, PAUSE_LIMIT, self.rng.fork());
        let deadline = now + think + SUBMIT_LIMIT;
        let sending = Sending { replica, attempt, is_unanswered: false, deadline, backoff };
        self.phase = Phase::Append(Box::new(sending));
        think
    }

    fn publication(&mut self, replica: &Replica) -> Publication {
        let (author, changes) = self.size.change(&mut self.rng);
        self.count += 1;
        Publication {
            id: format!("{:032x}", self.rng.u128(..)).into(),
            author: author.as_str().into(),
            base: replica.fold().end(),
            made_at_s: 0,
            note: format!("edit {} of {}", self.count, self.name),
            changes,
        }
    }

    fn append(&mut self, mut it: Box<Sending>, store: &Store, options: &Options) -> Duration {
        if options.lacks(Guard::Id) && it.is_unanswered {
            let mut again = it.attempt.publication().clone();
            again.id = format!("{:032x}", self.rng.u128(..)).into();
            again.base = it.replica.fold().end();
            it.attempt = Attempt::new(again);
        }
        let answer = store.append(document::publication::STREAM, it.attempt.record());
        it.attempt.on_append(&answer);
        it.is_unanswered = answer.is_err();
        if options.lacks(Guard::Verdict) && answer.is_ok() {
            return self.finish(&it.attempt, Told::Accepted);
        }
        self.phase = Phase::Find(it);
        store.faults().latency
    }

    fn find(
        &mut self,
        mut it: Box<Sending>,
        store: &Store,
        now: Duration,
        options: &Options,
    ) -> Duration {
        let progress = reader::read_page(&mut it.replica, store);
        if let Ok(progress) = &progress {
            it.attempt.on_read(it.replica.fold(), progress);
        }
        let is_blind = options.lacks(Guard::Id) && it.is_unanswered;
        if let Some(settled) = it.attempt.resolution().filter(|_| !is_blind) {
            let is_accepted = matches!(settled.verdict, Verdict::Accepted { .. });
            let told = if is_accepted { Told::Accepted } else { Told::Rejected };
            return self.finish(&it.attempt, told);
        }
        if progress.is_ok_and(|it| !it.should_wait) {
            self.phase = Phase::Find(it);
            return store.faults().latency;
        }
        if now >= it.deadline {
            let is_open = it.attempt.may_be_stored() && !options.lacks(Guard::Verdict);
            let told = if is_open { Told::Unknown } else { Told::Unpublished };
            return self.finish(&it.attempt, told);
        }
        let pause = it.backoff.failed();
        self.phase = Phase::Append(it);
        pause
    }

    fn finish(&mut self, attempt: &Attempt, told: Told) -> Duration {
        self.told.push((attempt.publication().id.clone(), told));
        self.rest()
    }

    fn rest(&mut self) -> Duration {
        self.phase = Phase::Rest;
        Duration::from_millis(self.rng.u64(1..MAX_REST_MS))
    }
}

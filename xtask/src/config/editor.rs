//! An editor that publishes changes with the code of the command line.

use std::time::Duration;

use cli::{Submission, reader};
use document::{Publication, PublicationId, Replica, Verdict, replica::State};
use fastrand::Rng;
use platform::{Backoff, Log};

use super::{
    content::Size,
    log::VirtualLog,
    options::{Guard, Options},
};

/// Time-out for publishing a change, as in the command line.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Shortest backoff after the log gave no answer, as in the command line.
const BACKOFF_BASE: Duration = Duration::from_millis(50);
/// Longest backoff after the log gave no answer, as in the command line.
const BACKOFF_LIMIT: Duration = Duration::from_secs(1);
/// Longest time between reading the document and publishing a change, in milliseconds.
const MAX_EDIT_MS: u64 = 15_000;
/// Longest pause between two changes, in milliseconds.
const MAX_IDLE_MS: u64 = 12_000;

/// Outcome of a publication as reported to its editor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    Accepted,
    Rejected,
    Unpublished,
    Unknown,
}

/// An editor.
pub(crate) struct Editor {
    number: usize,
    count: u32,
    rng: Rng,
    size: Size,
    phase: Phase,
    /// Reported outcomes of the editor's publications.
    pub(crate) outcomes: Vec<(PublicationId, Outcome)>,
}

enum Phase {
    Idle,
    Read(Box<Replica>),
    Append(Box<Publishing>),
    Confirm(Box<Publishing>),
}

struct Publishing {
    replica: Box<Replica>,
    submission: Submission,
    /// Whether the outcome of the last append is unknown.
    is_unanswered: bool,
    deadline: Duration,
    backoff: Backoff,
}

impl Editor {
    pub(crate) fn new(number: usize, size: Size, rng: Rng) -> Self {
        Self { number, count: 0, rng, size, phase: Phase::Idle, outcomes: Vec::new() }
    }

    /// Whether the editor is not publishing a change.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }

    /// Performs the next step and returns the time until the following one.
    pub(crate) fn step(&mut self, log: &VirtualLog, now: Duration, options: &Options) -> Duration {
        let latency = log.faults().latency;
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Idle => {
                self.phase = Phase::Read(Box::default());
                latency
            }
            Phase::Read(replica) => self.read(replica, log, now),
            Phase::Append(publishing) => self.append(publishing, log, options),
            Phase::Confirm(publishing) => self.confirm(publishing, log, now, options),
        }
    }

    fn read(&mut self, mut replica: Box<Replica>, log: &VirtualLog, now: Duration) -> Duration {
        let Ok(progress) = reader::read_page(&mut replica, log) else { return self.idle() };
        if !progress.should_wait {
            self.phase = Phase::Read(replica);
            return log.faults().latency;
        }
        if replica.state() != State::Following {
            return self.idle();
        }
        let edit_time = Duration::from_millis(self.rng.u64(1..MAX_EDIT_MS));
        let submission = Submission::new(self.publication(&replica));
        let backoff = Backoff::new(BACKOFF_BASE, BACKOFF_LIMIT, self.rng.fork());
        let deadline = now + edit_time + SUBMIT_TIMEOUT;
        let publishing =
            Publishing { replica, submission, is_unanswered: false, deadline, backoff };
        self.phase = Phase::Append(Box::new(publishing));
        edit_time
    }

    fn publication(&mut self, replica: &Replica) -> Publication {
        let (author, changes) = self.size.change(&mut self.rng);
        self.count += 1;
        Publication {
            id: format!("{:032x}", self.rng.u128(..)).into(),
            author: author.as_str().into(),
            base: replica.fold().end(),
            made_at_s: 0,
            note: format!("edit {} of {}", self.count, self.number),
            changes,
        }
    }

    fn append(&mut self, mut it: Box<Publishing>, log: &VirtualLog, options: &Options) -> Duration {
        if options.is_disabled(Guard::Id) && it.is_unanswered {
            let mut republication = it.submission.publication().clone();
            republication.id = format!("{:032x}", self.rng.u128(..)).into();
            republication.base = it.replica.fold().end();
            it.submission = Submission::new(republication);
        }
        let answer = log.append(document::publication::STREAM, it.submission.record());
        it.submission.on_append(&answer);
        it.is_unanswered = answer.is_err();
        if options.is_disabled(Guard::Verdict) && answer.is_ok() {
            return self.finish(&it.submission, Outcome::Accepted);
        }
        self.phase = Phase::Confirm(it);
        log.faults().latency
    }

    fn confirm(
        &mut self,
        mut it: Box<Publishing>,
        log: &VirtualLog,
        now: Duration,
        options: &Options,
    ) -> Duration {
        let progress = reader::read_page(&mut it.replica, log);
        if let Ok(progress) = &progress {
            it.submission.on_read(it.replica.fold(), progress);
        }
        let ignores_verdict = options.is_disabled(Guard::Id) && it.is_unanswered;
        if let Some(settled) = it.submission.resolution().filter(|_| !ignores_verdict) {
            let is_accepted = matches!(settled.verdict, Verdict::Accepted { .. });
            let outcome = if is_accepted { Outcome::Accepted } else { Outcome::Rejected };
            return self.finish(&it.submission, outcome);
        }
        if progress.is_ok_and(|it| !it.should_wait) {
            self.phase = Phase::Confirm(it);
            return log.faults().latency;
        }
        if now >= it.deadline {
            let is_unknown = it.submission.may_be_stored() && !options.is_disabled(Guard::Verdict);
            let outcome = if is_unknown { Outcome::Unknown } else { Outcome::Unpublished };
            return self.finish(&it.submission, outcome);
        }
        let pause = it.backoff.failed();
        self.phase = Phase::Append(it);
        pause
    }

    fn finish(&mut self, submission: &Submission, outcome: Outcome) -> Duration {
        self.outcomes.push((submission.publication().id.clone(), outcome));
        self.idle()
    }

    fn idle(&mut self) -> Duration {
        self.phase = Phase::Idle;
        Duration::from_millis(self.rng.u64(1..MAX_IDLE_MS))
    }
}

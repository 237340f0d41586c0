//! The order protocol as a state machine that maps events to actions.

mod forwarding;
mod journal;
mod sessions;
mod submission;
mod timers;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Instant,
};

use crate::{
    Answer, Denial, Event, Fingerprint, Finished, Incarnation, Key, Outcome, Reason, Session,
    Settings, Started, Stream, Ticket, action::Action, batcher::Batcher, claims::Claims,
    entry::Phase, forward::Forward, issuer::Issuer, recovery::Recovery, store::Store,
    suspicion::Suspicion,
};

/// The state of the order protocol at one daemon.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Engine {
    settings: Settings,
    current: Incarnation,
    issuers: BTreeMap<Incarnation, Issuer>,
    store: Store,
    claims: Claims,
    batcher: Batcher,
    forwards: BTreeMap<Ticket, Forward>,
    recoveries: BTreeMap<Incarnation, Recovery>,
    /// Keys of `recoveries`, oldest first.
    recovery_order: VecDeque<Incarnation>,
    suspicion: Suspicion,
    log_up: bool,
}

impl Engine {
    /// Creates an engine for a new incarnation, and returns it with its initial actions.
    #[must_use]
    pub fn new(settings: Settings, incarnation: Incarnation) -> (Self, Vec<Action>) {
        let engine = Self {
            settings,
            current: incarnation,
            issuers: BTreeMap::from([(incarnation, Issuer::default())]),
            store: Store::default(),
            claims: Claims::default(),
            batcher: Batcher::default(),
            forwards: BTreeMap::new(),
            recoveries: BTreeMap::new(),
            recovery_order: VecDeque::new(),
            suspicion: Suspicion::default(),
            log_up: false,
        };
        let actions =
            vec![Action::Follow(Stream::Orders(incarnation), 0), Action::Follow(Stream::Claims, 0)];
        (engine, actions)
    }

    /// Processes an event and returns the actions to execute, in order.
    #[must_use]
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Submitted(it) => self.submit(&it, now, &mut actions),
            Event::Unsent(key) => self.revert_dispatch(&key),
            Event::Finished(key, outcome) => self.record_outcome(&key, &outcome, now, &mut actions),
            Event::Disconnected(ticket) => self.handle_disconnect(ticket, now, &mut actions),
            Event::ForwardAnswered(ticket, outcome) => {
                self.answer_forward(ticket, outcome, now, &mut actions);
            }
            Event::ForwardFailed { ticket, gone } => {
                self.fail_forward(ticket, gone, now, &mut actions);
            }
            Event::Appended(batch) => {
                self.batcher.complete(batch);
            }
            Event::AppendFailed(batch, failure) => {
                self.fail_append(batch, failure, now, &mut actions);
            }
            Event::Read { stream, offset, record } => {
                self.read(stream, offset, &record, now, &mut actions);
            }
            Event::Trimmed { stream, first } => {
                self.handle_trimmed(stream, first, now, &mut actions);
            }
            Event::Log { up } => self.log_up = up,
            Event::IncarnationStarted(incarnation) => {
                self.start_incarnation(incarnation, &mut actions);
            }
            Event::Tick => {}
        }
        self.run_timers(now, &mut actions);
        actions
    }

    /// Permits one dispatch of a started order; to be called immediately before it is sent.
    ///
    /// # Errors
    ///
    /// [`Denial`] with the order's outcome if it must not be dispatched.
    pub fn permit(&mut self, key: &Key, now: Instant) -> Result<(), Denial> {
        let mut actions = Vec::new();
        let outcome = match self.store.get_mut(key) {
            None => Outcome::Unknown(Reason::SessionUnknown),
            Some(entry) => match &entry.phase {
                Phase::Ready if now < entry.runner.deadline => {
                    entry.phase = Phase::Dispatched;
                    return Ok(());
                }
                Phase::Ready => {
                    let outcome = Outcome::NotRun(Reason::Deadline);
                    self.finish(key, &outcome, now, &mut actions);
                    outcome
                }
                Phase::Finished(outcome) => outcome.clone(),
                Phase::Queued | Phase::Appended | Phase::Dispatched => {
                    Outcome::Unknown(Reason::Pending)
                }
            },
        };
        Err(Denial { outcome, actions })
    }

    /// Incarnations of this daemon: the current one, and earlier ones that still have sessions.
    #[must_use]
    pub fn incarnations(&self) -> BTreeSet<Incarnation> {
        self.issuers.keys().copied().collect()
    }

    /// Whether the log was reachable when last checked.
    #[must_use]
    pub fn is_log_up(&self) -> bool {
        self.log_up
    }

    /// Number of stored orders, and memory used by their answers in bytes.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        (self.store.len(), self.store.answer_bytes())
    }

    fn revert_dispatch(&mut self, key: &Key) {
        if let Some(entry) = self.store.get_mut(key)
            && entry.phase == Phase::Dispatched
        {
            entry.phase = Phase::Ready;
        }
    }

    /// Records the outcome reported by the request that executes the order. A late answer replaces
    /// `unknown`.
    fn record_outcome(
        &mut self,
        key: &Key,
        outcome: &Outcome,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.store.get(key) else { return };
        let accepted = match &entry.phase {
            Phase::Ready | Phase::Dispatched => true,
            Phase::Finished(Outcome::Unknown(Reason::Interrupted)) => {
                matches!(outcome, Outcome::Done(_))
            }
            Phase::Finished(_) | Phase::Queued | Phase::Appended => false,
        };
        if accepted {
            self.finish(key, outcome, now, actions);
        }
    }

    /// Records the final outcome of an order, and answers all requests that wait for it.
    fn finish(&mut self, key: &Key, outcome: &Outcome, now: Instant, actions: &mut Vec<Action>) {
        let Some(entry) = self.store.get(key) else { return };
        let fingerprint = entry.fingerprint;
        self.batcher.withdraw(key);
        self.journal_outcome(*key, fingerprint, outcome, now);
        let waiters = self.store.finish(key, outcome.clone(), self.settings.answer_limit_bytes);
        actions.extend(waiters.iter().map(|it| Action::Reply(it.ticket, outcome.clone())));
    }

    fn journal_outcome(
        &mut self,
        key: Key,
        fingerprint: Fingerprint,
        outcome: &Outcome,
        now: Instant,
    ) {
        let Key::Numbered { session: Session { incarnation, .. }, .. } = key else { return };
        let Some(order) = Started::of(key, fingerprint) else { return };
        if incarnation != self.current || self.is_revoked(incarnation) {
            return;
        }
        let outcome = match outcome {
            Outcome::Done(it) if !self.fits_journal(it) => Outcome::Unkept,
            it => it.clone(),
        };
        self.batcher.push_finished(Finished { order, outcome }, self.settings.batch_limit, now);
    }

    fn fits_journal(&self, answer: &Answer) -> bool {
        answer.size() <= self.settings.journaled_answer_limit_bytes
    }

    fn is_revoked(&self, incarnation: Incarnation) -> bool {
        self.issuers.get(&incarnation).is_none_or(|it| it.revoked)
    }
}

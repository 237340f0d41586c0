//! The order protocol as a state machine: events with the time in, actions out.

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

/// The order protocol of one daemon.
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
    /// Incarnations in `recoveries`, oldest first.
    recovered: VecDeque<Incarnation>,
    suspicion: Suspicion,
    log_up: bool,
}

impl Engine {
    /// An engine that starts a new incarnation, and the actions to begin with.
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
            recovered: VecDeque::new(),
            suspicion: Suspicion::default(),
            log_up: false,
        };
        let actions =
            vec![Action::Follow(Stream::Orders(incarnation), 0), Action::Follow(Stream::Claims, 0)];
        (engine, actions)
    }

    /// Takes in an event and returns what is to be done, in order.
    #[must_use]
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut acts = Vec::new();
        match event {
            Event::Submitted(it) => self.submit(&it, now, &mut acts),
            Event::Unsent(key) => self.take_back(&key),
            Event::Finished(key, outcome) => self.report(&key, &outcome, now, &mut acts),
            Event::Abandoned(ticket) => self.abandon(ticket, now, &mut acts),
            Event::ForwardAnswered(ticket, outcome) => {
                self.answer_forward(ticket, outcome, now, &mut acts);
            }
            Event::ForwardFailed { ticket, gone } => {
                self.fail_forward(ticket, gone, now, &mut acts);
            }
            Event::Appended(batch) => {
                self.batcher.complete(batch);
            }
            Event::AppendFailed(batch, landing) => {
                self.fail_append(batch, landing, now, &mut acts);
            }
            Event::Read { stream, offset, record } => {
                self.read(stream, offset, &record, now, &mut acts);
            }
            Event::Trimmed { stream, first } => self.lose(stream, first, now, &mut acts),
            Event::Log { up } => self.log_up = up,
            Event::IncarnationStarted(incarnation) => self.incarnate(incarnation, &mut acts),
            Event::Tick => {}
        }
        self.run_timers(now, &mut acts);
        acts
    }

    /// Permits one dispatch of an order that was started, at the last moment before it is sent.
    ///
    /// # Errors
    ///
    /// The order's outcome if it must not be dispatched (any more), and what is to be done besides.
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

    /// Incarnations of this daemon: the current one, and earlier ones whose sessions live on.
    #[must_use]
    pub fn incarnations(&self) -> BTreeSet<Incarnation> {
        self.issuers.keys().copied().collect()
    }

    /// Whether the log was last found to answer.
    #[must_use]
    pub fn is_log_up(&self) -> bool {
        self.log_up
    }

    /// Orders held, and the memory of their answers in bytes.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        (self.store.len(), self.store.answer_bytes())
    }

    fn take_back(&mut self, key: &Key) {
        if let Some(entry) = self.store.get_mut(key)
            && entry.phase == Phase::Dispatched
        {
            entry.phase = Phase::Ready;
        }
    }

    /// Takes an outcome from the request that runs the order. A late answer replaces `unknown`.
    fn report(&mut self, key: &Key, outcome: &Outcome, now: Instant, acts: &mut Vec<Action>) {
        let Some(entry) = self.store.get(key) else { return };
        let accepted = match &entry.phase {
            Phase::Ready | Phase::Dispatched => true,
            Phase::Finished(Outcome::Unknown(Reason::Interrupted)) => {
                matches!(outcome, Outcome::Done(_))
            }
            Phase::Finished(_) | Phase::Queued | Phase::Appended => false,
        };
        if accepted {
            self.finish(key, outcome, now, acts);
        }
    }

    /// Records the outcome of an order, for good, and answers all who wait for it.
    fn finish(&mut self, key: &Key, outcome: &Outcome, now: Instant, acts: &mut Vec<Action>) {
        let Some(entry) = self.store.get(key) else { return };
        let fingerprint = entry.fingerprint;
        self.batcher.withdraw(key);
        self.journal_outcome(*key, fingerprint, outcome, now);
        let waiters = self.store.finish(key, outcome.clone(), self.settings.answer_limit_bytes);
        acts.extend(waiters.iter().map(|it| Action::Reply(it.ticket, outcome.clone())));
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
        if incarnation != self.current || self.is_retired(incarnation) {
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

    fn is_retired(&self, incarnation: Incarnation) -> bool {
        self.issuers.get(&incarnation).is_none_or(|it| it.retired)
    }
}

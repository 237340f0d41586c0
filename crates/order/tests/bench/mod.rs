//! One engine with a log that is a list.

#![allow(dead_code, reason = "each test file uses its part")]

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use order::{
    Action, Answer, Body, Engine, Event, Failure, Fingerprint, Incarnation, Key, Outcome, Record,
    Session, Settings, Stream, Submission, Ticket,
};

/// Incarnation of the engine under test.
pub(crate) const OWN: Incarnation = 1;
/// Incarnation of another host.
pub(crate) const OTHER: Incarnation = 2;
/// Time that callers wait.
pub(crate) const PATIENCE: Duration = Duration::from_secs(5);

/// One engine with a log that is a list.
pub(crate) struct Bench {
    pub(crate) engine: Engine,
    pub(crate) now: Instant,
    /// Actions not looked at yet, without those on the log.
    pub(crate) actions: Vec<Action>,
    pub(crate) appends: Vec<Action>,
    pub(crate) streams: BTreeMap<Stream, Vec<Bytes>>,
    next_ticket: Ticket,
}

impl Bench {
    pub(crate) fn new(settings: Settings) -> Self {
        let (engine, _) = Engine::new(settings, OWN);
        let mut res = Self {
            engine,
            now: Instant::now(),
            actions: Vec::new(),
            appends: Vec::new(),
            streams: BTreeMap::new(),
            next_ticket: 1,
        };
        res.feed(Event::Log { up: true });
        res
    }

    pub(crate) fn session(&mut self, journaled: bool) -> Session {
        self.engine.issue(journaled, 7, self.now).expect("room for a session").session
    }

    pub(crate) fn feed(&mut self, event: Event) {
        for it in self.engine.handle(event, self.now) {
            match it {
                Action::Append { .. } => self.appends.push(it),
                Action::Follow(..) | Action::Unfollow(_) => {}
                it => self.actions.push(it),
            }
        }
    }

    /// Submits a request and returns its ticket.
    pub(crate) fn submit(&mut self, key: Key, content: u128) -> Ticket {
        self.submit_with(key, content, |it| it)
    }

    pub(crate) fn submit_with(
        &mut self,
        key: Key,
        content: u128,
        change: impl FnOnce(Submission) -> Submission,
    ) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let submission = Submission {
            ticket,
            key,
            fingerprint: Fingerprint(content),
            deadline: self.now + PATIENCE,
            acknowledged: 0,
            forwarded: false,
        };
        self.feed(Event::Submitted(change(submission)));
        ticket
    }

    /// Lets all appends under way take effect, without reading them.
    pub(crate) fn land(&mut self) {
        for it in std::mem::take(&mut self.appends) {
            let Action::Append { batch, stream, record } = it else { continue };
            self.streams.entry(stream).or_default().push(record);
            self.feed(Event::Appended(batch));
        }
    }

    /// Ends all appends under way without effect.
    pub(crate) fn fail(&mut self, landing: Failure) {
        for it in std::mem::take(&mut self.appends) {
            let Action::Append { batch, .. } = it else { continue };
            self.feed(Event::AppendFailed(batch, landing));
        }
    }

    /// Puts a record of another host into the log.
    pub(crate) fn put(&mut self, stream: Stream, body: Body) {
        self.streams.entry(stream).or_default().push(Record::new(body).encode());
    }

    /// Reads a stream from an offset to its end.
    pub(crate) fn read(&mut self, stream: Stream, from: usize) {
        let records = self.streams.get(&stream).cloned().unwrap_or_default();
        for (place, record) in records.into_iter().enumerate().skip(from) {
            self.feed(Event::Read { stream, offset: place as u64, record });
        }
    }

    pub(crate) fn advance(&mut self, by: Duration) {
        self.now += by;
        self.feed(Event::Tick);
    }

    /// Asks for the permit, then runs the order to its answer.
    pub(crate) fn run(&mut self, key: Key, text: &str) {
        self.engine.permit(&key, self.now).expect("the order is ready");
        self.feed(Event::Finished(key, Outcome::Done(answer(text))));
    }

    /// Checks and takes the outcome that a request was answered with.
    #[track_caller]
    pub(crate) fn expect(&mut self, ticket: Ticket, outcome: &Outcome) {
        assert_eq!(self.outcome(ticket).as_ref(), Some(outcome));
    }

    /// Takes the outcome that a request was answered with.
    pub(crate) fn outcome(&mut self, ticket: Ticket) -> Option<Outcome> {
        let is_meant = |it: &Action| matches!(it, Action::Reply(to, _) if *to == ticket);
        let place = self.actions.iter().position(is_meant)?;
        let Action::Reply(_, outcome) = self.actions.remove(place) else { return None };
        Some(outcome)
    }

    /// Whether a request was let run its order; looked at once.
    pub(crate) fn started(&mut self, ticket: Ticket) -> bool {
        let is_meant = |it: &Action| matches!(it, Action::Start(to, _) if *to == ticket);
        let place = self.actions.iter().position(is_meant);
        place.map(|it| self.actions.remove(it)).is_some()
    }

    /// Whether a request was passed on to an incarnation; looked at once.
    pub(crate) fn forwarded(&mut self, ticket: Ticket, to: Incarnation) -> bool {
        let place = self.actions.iter().position(|it| *it == Action::Forward(ticket, to));
        place.map(|it| self.actions.remove(it)).is_some()
    }
}

pub(crate) fn answer(text: &str) -> Answer {
    Answer { status: 201, headers: Vec::new(), body: text.to_owned().into() }
}

pub(crate) fn done(text: &str) -> Outcome {
    Outcome::Done(answer(text))
}

pub(crate) fn numbered(session: Session, number: u64) -> Key {
    Key::Numbered { session, number }
}

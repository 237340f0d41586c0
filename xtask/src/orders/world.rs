//! One state of two or more entry hosts, the log, the network and a backend server.

use std::collections::BTreeMap;

use bytes::Bytes;
use order::{Batch, Engine, Event, Fingerprint, Incarnation, Key, Offset, Outcome, Stream, Ticket};

use super::{
    rules::{Keying, Rules},
    shared::Shared,
};

/// Distance between the tickets of one request at different hosts and attempts.
pub(crate) const ATTEMPT: Ticket = 1_000;

/// How a request stands with its caller.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Fate {
    Unsent,
    Waiting {
        host: usize,
    },
    Answered(Outcome),
    /// The entry host died with the connection; the caller knows nothing.
    Cut,
}

/// A request of a caller.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Request {
    pub(crate) key: Key,
    pub(crate) content: Fingerprint,
    pub(crate) fate: Fate,
    /// Step of the clock at which the caller gives up.
    pub(crate) deadline: u32,
}

/// An append under way.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Append {
    pub(crate) batch: Batch,
    pub(crate) stream: Stream,
    pub(crate) record: Bytes,
}

/// A call to another entry host.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Call {
    pub(crate) ticket: Ticket,
    pub(crate) to: Incarnation,
    pub(crate) stage: Stage,
}

/// How far a call has come.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Stage {
    Sent,
    Delivered { host: usize, ticket: Ticket },
    Answered(Outcome),
    Broken,
}

/// A request that runs its order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Runner {
    pub(crate) ticket: Ticket,
    pub(crate) key: Key,
    pub(crate) dispatch: Dispatch,
}

/// How far the dispatch of an order has come.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Dispatch {
    Due,
    Sent,
    Executed,
}

/// An order that a backend server ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Execution {
    pub(crate) key: Key,
    pub(crate) content: Fingerprint,
}

/// An entry host.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Host {
    /// Nothing while the daemon is down.
    pub(crate) engine: Option<Engine>,
    pub(crate) believes_log_up: bool,
    pub(crate) appends: Vec<Append>,
    pub(crate) cursors: BTreeMap<Stream, Offset>,
    pub(crate) calls: Vec<Call>,
    pub(crate) runners: Vec<Runner>,
}

/// The platform's log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Log {
    pub(crate) up: bool,
    pub(crate) streams: BTreeMap<Stream, Vec<Bytes>>,
    /// Offset of the oldest record kept, where records were dropped.
    pub(crate) first: BTreeMap<Stream, Offset>,
    /// Appends whose sender gave up on them, and that may still land.
    pub(crate) limbo: Vec<Append>,
}

/// One state of everything.
#[derive(Clone, Debug, Hash)]
pub(crate) struct World {
    pub(crate) step: u32,
    pub(crate) faults: u8,
    pub(crate) next_incarnation: Incarnation,
    pub(crate) next_attempt: Ticket,
    pub(crate) hosts: Vec<Shared<Host>>,
    pub(crate) log: Shared<Log>,
    pub(crate) requests: Shared<Vec<Request>>,
    /// Calls whose sender gave up on them, and that may still arrive: request and addressee.
    pub(crate) stray_calls: Vec<(usize, Incarnation)>,
    /// Dispatches of dead daemons that may still reach the backend server.
    pub(crate) stray_dispatches: Vec<Execution>,
    pub(crate) executions: Vec<Execution>,
    /// Dispatches permitted after the deadline.
    pub(crate) late: u32,
}

impl World {
    pub(crate) fn new(rules: &Rules) -> Self {
        let log =
            Log { up: true, streams: BTreeMap::new(), first: BTreeMap::new(), limbo: Vec::new() };
        let mut res = Self {
            step: 0,
            faults: rules.faults,
            next_incarnation: 1,
            next_attempt: 1,
            hosts: vec![Shared::default(); rules.hosts],
            log: log.into(),
            requests: Shared::default(),
            stray_calls: Vec::new(),
            stray_dispatches: Vec::new(),
            executions: Vec::new(),
            late: 0,
        };
        for host in 0..rules.hosts {
            res.boot(rules, host);
        }
        res.requests = res.plan(rules).into();
        res
    }

    /// Starts the daemon of a host with a new incarnation.
    pub(crate) fn boot(&mut self, rules: &Rules, host: usize) {
        let incarnation = self.draw_incarnation();
        let (engine, actions) = Engine::new(rules.settings.clone(), incarnation);
        self.hosts[host] = Host { engine: Some(engine), ..Host::default() }.into();
        for action in actions {
            self.perform(rules, host, action);
        }
        self.notice_log(rules, host);
    }

    pub(crate) fn draw_incarnation(&mut self) -> Incarnation {
        let res = self.next_incarnation;
        self.next_incarnation += 1;
        res
    }

    /// Lets a host find out whether the log answers.
    pub(crate) fn notice_log(&mut self, rules: &Rules, host: usize) {
        let up = self.log.up;
        self.hosts[host].believes_log_up = up;
        self.feed(rules, host, Event::Log { up });
    }

    /// The requests of the scenario: each order's session is issued by another host in turn.
    fn plan(&mut self, rules: &Rules) -> Vec<Request> {
        let mut res = Vec::new();
        for order in 0..rules.orders {
            let key = self.key(rules, order);
            for copy in 0..rules.copies {
                let differs = rules.misuse && copy + 1 == rules.copies;
                let content = Fingerprint((order * 2 + usize::from(differs)) as u128);
                res.push(Request { key, content, fate: Fate::Unsent, deadline: 0 });
            }
        }
        res
    }

    fn key(&mut self, rules: &Rules, order: usize) -> Key {
        if rules.keying == Keying::Own {
            return Key::Own(order as u128);
        }
        let host = order % rules.hosts;
        let journaled = rules.keying == Keying::Journaled;
        let engine = self.hosts[host].engine.as_mut().expect("every host starts up");
        let nonce = order as u64;
        let lease = engine.issue(journaled, nonce, rules.time(0)).expect("a new engine has room");
        Key::Numbered { session: lease.session, number: 1 }
    }
}

//! A state of the model: two or more entry hosts, the log, the network and a backend server.

use std::collections::BTreeMap;

use bytes::Bytes;
use order::{Batch, Engine, Event, Fingerprint, Incarnation, Key, Offset, Outcome, Stream, Ticket};

use super::{
    scenario::{Keying, Scenario},
    shared::Shared,
};

/// A ticket is the index of its request plus a multiple of this, which differs for each host and
/// attempt.
pub(crate) const TICKET_STRIDE: Ticket = 1_000;

/// Progress of a request from its caller's point of view.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Progress {
    Unsent,
    Waiting {
        host: usize,
    },
    Answered(Outcome),
    /// The connection broke because the entry host crashed. The caller gets no outcome.
    Cut,
}

/// A request of a caller.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Request {
    pub(crate) key: Key,
    pub(crate) content: Fingerprint,
    pub(crate) progress: Progress,
    /// Step of the clock at which the request expires.
    pub(crate) deadline: u32,
}

/// An append in flight.
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

/// Progress of a call.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Stage {
    Sent,
    Delivered { host: usize, ticket: Ticket },
    Answered(Outcome),
    Broken,
}

/// A request at the host that dispatches its order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Runner {
    pub(crate) ticket: Ticket,
    pub(crate) key: Key,
    pub(crate) dispatch: Dispatch,
}

/// Progress of the dispatch of an order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Dispatch {
    Due,
    Sent,
    Executed,
}

/// An execution of an order by the backend server.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Execution {
    pub(crate) key: Key,
    pub(crate) content: Fingerprint,
}

/// An entry host.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Host {
    /// `None` while the daemon is down.
    pub(crate) engine: Option<Engine>,
    pub(crate) assumes_log_up: bool,
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
    /// Offset of the oldest kept record, for streams from which records were dropped.
    pub(crate) first: BTreeMap<Stream, Offset>,
    /// Appends that have timed out or whose sender has crashed, and that may still take effect.
    pub(crate) late_appends: Vec<Append>,
}

/// A state of the model.
#[derive(Clone, Debug, Hash)]
pub(crate) struct State {
    pub(crate) step: u32,
    pub(crate) faults: u8,
    pub(crate) next_incarnation: Incarnation,
    pub(crate) next_attempt: Ticket,
    pub(crate) hosts: Vec<Shared<Host>>,
    pub(crate) log: Shared<Log>,
    pub(crate) requests: Shared<Vec<Request>>,
    /// Calls that have failed at their sender and may still arrive: request and destination.
    pub(crate) late_calls: Vec<(usize, Incarnation)>,
    /// Dispatches of crashed daemons that may still reach the backend server.
    pub(crate) late_dispatches: Vec<Execution>,
    pub(crate) executions: Vec<Execution>,
    /// Number of dispatches after their deadline.
    pub(crate) overdue_dispatches: u32,
}

impl State {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let log = Log {
            up: true,
            streams: BTreeMap::new(),
            first: BTreeMap::new(),
            late_appends: Vec::new(),
        };
        let mut res = Self {
            step: 0,
            faults: scenario.faults,
            next_incarnation: 1,
            next_attempt: 1,
            hosts: vec![Shared::default(); scenario.hosts],
            log: log.into(),
            requests: Shared::default(),
            late_calls: Vec::new(),
            late_dispatches: Vec::new(),
            executions: Vec::new(),
            overdue_dispatches: 0,
        };
        for host in 0..scenario.hosts {
            res.start_daemon(scenario, host);
        }
        res.requests = res.new_requests(scenario).into();
        res
    }

    /// Starts the daemon of a host with a new incarnation.
    pub(crate) fn start_daemon(&mut self, scenario: &Scenario, host: usize) {
        let incarnation = self.new_incarnation();
        let (engine, actions) = Engine::new(scenario.settings.clone(), incarnation);
        self.hosts[host] = Host { engine: Some(engine), ..Host::default() }.into();
        for action in actions {
            self.perform(scenario, host, action);
        }
        self.observe_log(scenario, host);
    }

    pub(crate) fn new_incarnation(&mut self) -> Incarnation {
        let res = self.next_incarnation;
        self.next_incarnation += 1;
        res
    }

    /// Informs a host whether the log is available.
    pub(crate) fn observe_log(&mut self, scenario: &Scenario, host: usize) {
        let up = self.log.up;
        self.hosts[host].assumes_log_up = up;
        self.handle_event(scenario, host, Event::Log { up });
    }

    /// Creates the requests of the scenario. The hosts take turns in issuing the sessions.
    fn new_requests(&mut self, scenario: &Scenario) -> Vec<Request> {
        let mut res = Vec::new();
        for order in 0..scenario.orders {
            let key = self.key(scenario, order);
            for copy in 0..scenario.copies {
                let differs = scenario.misuses_key && copy + 1 == scenario.copies;
                let content = Fingerprint((order * 2 + usize::from(differs)) as u128);
                res.push(Request { key, content, progress: Progress::Unsent, deadline: 0 });
            }
        }
        res
    }

    fn key(&mut self, scenario: &Scenario, order: usize) -> Key {
        if scenario.keying == Keying::Own {
            return Key::Own(order as u128);
        }
        let host = order % scenario.hosts;
        let journaled = scenario.keying == Keying::Journaled;
        let engine = self.hosts[host].engine.as_mut().expect("all daemons run at the start");
        let nonce = order as u64;
        let lease = engine
            .issue(journaled, nonce, scenario.time(0))
            .expect("a new engine can issue a session");
        Key::Numbered { session: lease.session, number: 1 }
    }
}

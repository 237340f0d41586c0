//! An entry host: the core crates with the least that must stand round them.

mod configuration;
mod orders;
mod path;
mod peers;
mod task;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use admission::{Budget, Gate};
use balance::Balancer;
use document::{Replica, Version};
use order::{Engine, Event, Key, Offset, Stream, Ticket};

use self::{peers::Peer, task::Task};
use super::{
    backend::SLOTS,
    guard::Guard,
    ledger::PROBES_PER_S,
    message::{Attempt, Job, Life, Message, Node},
    net::{BACKENDS, HOSTS, Net},
    step::Step,
};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(10);
/// Time between two reads of the log.
const POLL: Duration = Duration::from_millis(50);
/// Time for which callers keep directions; a leaving host takes new work until it has passed.
pub(super) const DIRECTIONS_KEEP: Duration = Duration::from_secs(1);
/// Retries as a share of successes, in percent.
const RETRY_PERCENT: u8 = 20;

/// An entry host in one of its lives.
pub(super) struct Host {
    number: usize,
    life: Life,
    gate: Gate,
    balancer: Balancer,
    retries: Budget,
    engine: Engine,
    replica: Replica,
    version: Option<Version>,
    tasks: BTreeMap<Ticket, Task>,
    attempts: BTreeMap<Attempt, Ticket>,
    /// Orders that were given up while an attempt was in flight.
    late: BTreeMap<Attempt, (Key, Job)>,
    next_ticket: Ticket,
    follows: BTreeMap<Stream, Offset>,
    reading: BTreeSet<String>,
    peers: BTreeMap<usize, Peer>,
    leaving: Option<Instant>,
    /// Upstreams that said themselves that they leave.
    shedding: BTreeSet<usize>,
    served: usize,
    ticks: u32,
}

impl Host {
    /// Starts a life of a host.
    pub(super) fn start(number: usize, net: &mut Net) -> Self {
        net.lives[number] += 1;
        net.up[number] = true;
        net.ledger.host_starts(number);
        let (now, life) = (net.now, net.lives[number]);
        let settings =
            balance::Settings { probe_budget_per_s: PROBES_PER_S, ..balance::Settings::default() };
        let seed = net.random.u64(..);
        let mut balancer = Balancer::new(settings, domain(number), Vec::new(), seed, now);
        balancer.set_hosts(now, u32::try_from(HOSTS).unwrap_or(u32::MAX));
        let (engine, actions) = Engine::new(order::Settings::default(), net.random.u64(..));
        let slots = SLOTS * u32::try_from(BACKENDS / HOSTS).unwrap_or(1);
        let mut host = Self {
            number,
            life,
            gate: Gate::new(now, admission::Settings::default(), &[], slots),
            balancer,
            retries: Budget::new(now, RETRY_PERCENT),
            engine,
            replica: Replica::default(),
            version: None,
            tasks: BTreeMap::new(),
            attempts: BTreeMap::new(),
            late: BTreeMap::new(),
            next_ticket: 0,
            follows: BTreeMap::new(),
            reading: BTreeSet::new(),
            peers: BTreeMap::new(),
            leaving: None,
            shedding: BTreeSet::new(),
            served: 0,
            ticks: 0,
        };
        host.perform(actions, net);
        net.send(host.node(), TICK, Message::Tick);
        host.ask_for_snapshots(net);
        if number == HOSTS - 1 {
            net.reach(Step::HostStart, number, None);
        }
        host
    }

    fn node(&self) -> Node {
        Node::Host(self.number, self.life)
    }

    pub(super) fn take(&mut self, message: Message, net: &mut Net) {
        match message {
            Message::Call(call) => self.call(call, net),
            Message::Session { caller } => self.issue(caller, net),
            Message::Directions { caller } => {
                let hosts = self.directions(net.now);
                net.send(Node::Caller(caller), super::net::HOP, Message::Hosts(hosts));
            }
            Message::Connected { attempt, is_refused } => self.connected(attempt, is_refused, net),
            Message::Wire { connection, wire, load } => self.wire(connection, wire, load, net),
            Message::Load { backend, load } => {
                self.balancer.report(net.now, &upstream(backend), load);
            }
            Message::Retry(ticket) => self.choose(ticket, net),
            Message::Deadline(ticket) => self.give_up(ticket, net),
            Message::Tick => self.tick(net),
            Message::Appended { token, append } => self.appended(token, append, net),
            Message::Records { stream, page } => self.records(&stream, page, net),
            Message::Heartbeat(it) => self.heartbeat(it, net.now),
            Message::Forward { from, ticket, submission, call } => {
                self.forwarded_here(from, ticket, submission, call, net);
            }
            Message::Forwarded { ticket, outcome } => {
                self.event(Event::Forwarded(ticket, outcome), net);
            }
            Message::ForwardTimeout(ticket) => {
                self.event(Event::ForwardFailed { ticket, gone: false }, net);
            }
            Message::SnapshotRequest { from } => self.send_snapshot(from, net),
            Message::Snapshot(record) => self.offer_snapshot(&record, net),
            Message::Leave => self.leave(net),
            _ => {}
        }
    }

    fn tick(&mut self, net: &mut Net) {
        net.send(self.node(), TICK, Message::Tick);
        self.ticks += 1;
        let events = self.gate.tick(net.now);
        self.follow_gate(&events, net);
        self.event(Event::Tick, net);
        self.probe(net);
        if self.ticks.is_multiple_of(20) {
            self.send_heartbeats(net);
            self.mark_leaving_upstreams(net);
        }
        if self.ticks.is_multiple_of(5) {
            self.poll(net);
        }
        self.stop_if_done(net);
    }

    fn probe(&mut self, net: &mut Net) {
        let named = self.balancer.probe(net.now);
        let is_due = self.ticks.is_multiple_of(10);
        let unasked = (!net.guards(Guard::ProbeBudget) && is_due).then(|| upstream(0));
        for it in named.or(unasked) {
            net.ledger.probed(net.now);
            net.send(
                Node::Backend(backend(&it)),
                super::net::HOP,
                Message::Probe { from: self.node() },
            );
        }
    }

    fn leave(&mut self, net: &mut Net) {
        if self.leaving.is_some() {
            return;
        }
        self.leaving = Some(net.now);
        net.ledger.host_leaves(self.number, net.now);
        self.send_heartbeats(net);
        if self.number == HOSTS - 1 {
            net.reach(Step::HostLeave, self.number, None);
        }
    }

    /// Whether new work is turned away.
    fn turns_away(&self, net: &Net) -> bool {
        let is_past = |it: Instant| net.now >= it + DIRECTIONS_KEEP;
        net.guards(Guard::LeavingHost) && self.leaving.is_some_and(is_past)
    }

    /// Stops once the directions that named this host are used up and its work is finished.
    fn stop_if_done(&mut self, net: &mut Net) {
        let Some(since) = self.leaving else { return };
        let is_due = net.now >= since + DIRECTIONS_KEEP * 2;
        let is_abrupt = !net.guards(Guard::GracefulStop) && !self.tasks.is_empty();
        if is_abrupt || (is_due && self.tasks.is_empty()) {
            net.up[self.number] = false;
            net.ledger.host_stopped(self.number, self.served, self.tasks.len());
            net.send(Node::World, DIRECTIONS_KEEP, Message::Start(self.number));
            if self.number == HOSTS - 1 {
                net.reach(Step::HostStop, self.number, None);
            }
        }
    }
}

/// Name of a backend server in the document.
pub(super) fn upstream(backend: usize) -> balance::UpstreamId {
    format!("b{backend}").into()
}

/// The backend server of a name in the document.
fn backend(upstream: &str) -> usize {
    upstream.trim_start_matches('b').parse().unwrap_or_default()
}

/// Failure domain of a host or a backend server.
pub(super) fn domain(number: usize) -> balance::Domain {
    format!("d{number}").into()
}

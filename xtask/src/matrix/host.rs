//! An entry host: the core crates with the least that must stand round them.

mod configuration;
mod orders;
mod path;
mod peers;
mod task;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use admission::{Budget, Gate};
use balance::Balancer;
use document::{Replica, Version};
use member::{Address, Lifecycle as Stage, Phase, Starting, Table};
use order::{Engine, Event, Key, Offset, Stream, Ticket};

use self::task::Task;
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
    table: Table,
    stage: Stage,
    /// Heartbeats that wait for an answer, by their serial numbers.
    unanswered: BTreeMap<Address, u64>,
    heartbeats: u64,
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
        net.list_host(number, Some(false));
        let (now, life) = (net.now, net.lives[number]);
        let settings =
            balance::Settings { probe_budget_per_s: PROBES_PER_S, ..balance::Settings::default() };
        let seed = net.random.u64(..);
        let mut balancer = Balancer::new(settings, domain(number), Vec::new(), seed, now);
        balancer.set_hosts(now, u32::try_from(HOSTS).unwrap_or(u32::MAX));
        let incarnation = net.random.u64(..);
        let (engine, actions) = Engine::new(order::Settings::default(), incarnation);
        let identity = Self::identity(number, incarnation);
        let seeds: Vec<Address> = (0..HOSTS).map(peers::address).collect();
        let rng = fastrand::Rng::with_seed(net.random.u64(..));
        let table = Table::new(identity, &seeds, member::Settings::default(), rng, now);
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
            table,
            stage: Stage::Starting(Starting),
            unanswered: BTreeMap::new(),
            heartbeats: 0,
            shedding: BTreeSet::new(),
            served: 0,
            // Hosts read the log at different times.
            ticks: 2 * u32::try_from(number).unwrap_or_default(),
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
                let hosts = self.directions(caller, net);
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
            Message::Heartbeat { .. } => self.heartbeat(message, net),
            Message::HeartbeatAnswer { .. } => self.heartbeat_answer(message, net),
            Message::HeartbeatTimeout { to, serial } => self.heartbeat_timeout(to, serial),
            Message::Forward { from, ticket, submission, call } => {
                self.forwarded_here(from, ticket, &submission, call, net);
            }
            Message::Forwarded { ticket, outcome } => {
                self.event(Event::ForwardAnswered(ticket, outcome), net);
            }
            Message::ForwardTimeout(ticket) => {
                self.event(Event::ForwardFailed { ticket, gone: false }, net);
            }
            Message::SnapshotRequest { from } => self.send_snapshot(from, net),
            Message::Snapshot { record, leaving } => {
                self.shedding.extend(leaving);
                self.offer_snapshot(&record, net);
            }
            Message::Leave => self.leave(net),
            _ => {}
        }
    }

    fn tick(&mut self, net: &mut Net) {
        net.send(self.node(), TICK, Message::Tick);
        self.ticks += 1;
        self.refresh_capacity(net);
        self.event(Event::Tick, net);
        let due = self.table.tick(net.now);
        self.send_heartbeats(due, net);
        self.probe(net);
        if self.ticks.is_multiple_of(20) {
            self.mark_leaving_upstreams(net);
            self.read_host_list(net);
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
        if let Some(it) = named.or(unasked) {
            net.ledger.probed(net.now);
            let probe = Message::Probe { from: self.node() };
            net.send(Node::Backend(backend(&it)), super::net::HOP, probe);
        }
    }

    /// Lets the gate give out as many slots as the upstreams have room for.
    fn refresh_capacity(&mut self, net: &mut Net) {
        let capacity = self.balancer.capacity(net.now);
        let mut events = self.gate.set_capacity(net.now, capacity);
        events.extend(self.gate.tick(net.now));
        self.follow_gate(&events, net);
    }

    fn leave(&mut self, net: &mut Net) {
        if !net.guards(Guard::LeavingHost) {
            net.ledger.host_leaves(self.number, net.now);
            return;
        }
        self.stage = match self.stage {
            Stage::Starting(it) => Stage::Stopped(it.stop()),
            Stage::Ready(it) => Stage::Leaving(it.leave(net.now, DIRECTIONS_KEEP)),
            Stage::Leaving(_) | Stage::Stopped(_) => return,
        };
        net.ledger.host_leaves(self.number, net.now);
        net.list_host(self.number, Some(true));
        self.tell_phase(Phase::Leaving, net);
        if self.number == HOSTS - 1 {
            net.reach(Step::HostLeave, self.number, None);
        }
    }

    /// Whether new work is turned away.
    fn turns_away(&self, net: &Net) -> bool {
        match self.stage {
            Stage::Starting(_) | Stage::Stopped(_) => true,
            Stage::Ready(_) => false,
            Stage::Leaving(it) => it.admit(net.now) == member::Verdict::Redirect,
        }
    }

    /// Stops once the directions that named this host are used up and its work is finished.
    fn stop_if_done(&mut self, net: &mut Net) {
        if let Stage::Leaving(it) = self.stage {
            let in_progress = if net.guards(Guard::GracefulStop) { self.tasks.len() } else { 0 };
            if let Ok(stopped) = it.finish(in_progress, net.now) {
                self.stage = Stage::Stopped(stopped);
            }
        }
        if !matches!(self.stage, Stage::Stopped(_)) {
            return;
        }
        net.up[self.number] = false;
        net.list_host(self.number, None);
        net.ledger.host_stopped(self.number, self.served, self.tasks.len());
        net.send(Node::World, DIRECTIONS_KEEP, Message::Start(self.number));
        if self.number == HOSTS - 1 {
            net.reach(Step::HostStop, self.number, None);
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

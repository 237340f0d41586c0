//! A simulated entry host: the core crates and the minimum of code that connects them.

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
    message::{AttemptId, Endpoint, Generation, Job, Message},
    network::{BACKENDS, HOSTS, Network},
    step::Step,
};

/// Interval of timer ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which a host reads the log.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which callers use directions, which list the hosts to send requests to. A leaving host
/// accepts new requests until it has passed.
pub(super) const DIRECTIONS_TTL: Duration = Duration::from_secs(1);
/// Retry budget as a percentage of successes.
const RETRY_PERCENT: u8 = 20;

/// An entry host, from a start to the next stop or crash.
pub(super) struct Host {
    number: usize,
    generation: Generation,
    gate: Gate,
    balancer: Balancer,
    retries: Budget,
    engine: Engine,
    replica: Replica,
    version: Option<Version>,
    tasks: BTreeMap<Ticket, Task>,
    attempts: BTreeMap<AttemptId, Ticket>,
    /// Orders that expired while an attempt was in flight.
    expired: BTreeMap<AttemptId, (Key, Job)>,
    next_ticket: Ticket,
    cursors: BTreeMap<Stream, Offset>,
    pending_reads: BTreeSet<String>,
    table: Table,
    stage: Stage,
    /// Serial numbers of the heartbeats without an answer.
    unanswered: BTreeMap<Address, u64>,
    heartbeats: u64,
    /// Upstreams that have reported that they are leaving.
    leaving_upstreams: BTreeSet<usize>,
    served: usize,
    ticks: u32,
}

impl Host {
    /// Starts a host.
    pub(super) fn start(number: usize, net: &mut Network) -> Self {
        net.generations[number] += 1;
        net.up[number] = true;
        net.ledger.record_host_start(number);
        net.list_host(number, Some(false));
        let (now, generation) = (net.now, net.generations[number]);
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
            generation,
            gate: Gate::new(now, admission::Settings::default(), &[], slots),
            balancer,
            retries: Budget::new(now, RETRY_PERCENT),
            engine,
            replica: Replica::default(),
            version: None,
            tasks: BTreeMap::new(),
            attempts: BTreeMap::new(),
            expired: BTreeMap::new(),
            next_ticket: 0,
            cursors: BTreeMap::new(),
            pending_reads: BTreeSet::new(),
            table,
            stage: Stage::Starting(Starting),
            unanswered: BTreeMap::new(),
            heartbeats: 0,
            leaving_upstreams: BTreeSet::new(),
            served: 0,
            // Different initial values make the hosts read the log at different times.
            ticks: 2 * u32::try_from(number).unwrap_or_default(),
        };
        host.perform(actions, net);
        net.send(host.endpoint(), TICK_INTERVAL, Message::Tick);
        host.request_snapshots(net);
        if number == HOSTS - 1 {
            net.reach(Step::HostStart, number, None);
        }
        host
    }

    fn endpoint(&self) -> Endpoint {
        Endpoint::Host(self.number, self.generation)
    }

    pub(super) fn handle(&mut self, message: Message, net: &mut Network) {
        match message {
            Message::Call(call) => self.handle_call(call, net),
            Message::Session { caller } => self.issue_session(caller, net),
            Message::Directions { caller } => {
                let hosts = self.directions(caller, net);
                net.send(
                    Endpoint::Caller(caller),
                    super::network::MESSAGE_DELAY,
                    Message::Hosts(hosts),
                );
            }
            Message::Connected { attempt, is_refused } => self.connected(attempt, is_refused, net),
            Message::Response { connection, response, load } => {
                self.handle_response(connection, response, load, net);
            }
            Message::Load { backend, load } => {
                self.balancer.report(net.now, &upstream(backend), load);
            }
            Message::Retry(ticket) => self.choose(ticket, net),
            Message::Deadline(ticket) => self.expire(ticket, net),
            Message::Tick => self.tick(net),
            Message::Appended { token, append } => self.appended(token, append, net),
            Message::Records { stream, page } => self.records(&stream, page, net),
            Message::Heartbeat { .. } => self.heartbeat(message, net),
            Message::HeartbeatAnswer { .. } => self.heartbeat_answer(message, net),
            Message::HeartbeatTimeout { to, serial } => self.heartbeat_timeout(to, serial),
            Message::Forward { from, ticket, submission, call } => {
                self.handle_forward(from, ticket, &submission, call, net);
            }
            Message::Forwarded { ticket, outcome } => {
                self.handle_event(Event::ForwardAnswered(ticket, outcome), net);
            }
            Message::ForwardTimeout(ticket) => {
                self.handle_event(Event::ForwardFailed { ticket, gone: false }, net);
            }
            Message::SnapshotRequest { from } => self.send_snapshot(from, net),
            Message::Snapshot { record, leaving } => {
                self.leaving_upstreams.extend(leaving);
                self.offer_snapshot(&record, net);
            }
            Message::Leave => self.leave(net),
            _ => {}
        }
    }

    fn tick(&mut self, net: &mut Network) {
        net.send(self.endpoint(), TICK_INTERVAL, Message::Tick);
        self.ticks += 1;
        self.update_capacity(net);
        self.handle_event(Event::Tick, net);
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
        self.stop_if_finished(net);
    }

    fn probe(&mut self, net: &mut Network) {
        let budgeted = self.balancer.probe(net.now);
        let is_due = self.ticks.is_multiple_of(10);
        let unbudgeted = (!net.has_guard(Guard::ProbeBudget) && is_due).then(|| upstream(0));
        if let Some(it) = budgeted.or(unbudgeted) {
            net.ledger.record_probe(net.now);
            let probe = Message::Probe { from: self.endpoint() };
            net.send(Endpoint::Backend(backend(&it)), super::network::MESSAGE_DELAY, probe);
        }
    }

    /// Sets the gate's capacity to the balancer's, and handles requests that this admits or that
    /// have expired.
    fn update_capacity(&mut self, net: &mut Network) {
        let capacity = self.balancer.capacity(net.now);
        let mut events = self.gate.set_capacity(net.now, capacity);
        events.extend(self.gate.tick(net.now));
        self.handle_gate_events(&events, net);
    }

    fn leave(&mut self, net: &mut Network) {
        if !net.has_guard(Guard::LeavingHost) {
            net.ledger.record_host_leaving(self.number, net.now);
            return;
        }
        self.stage = match self.stage {
            Stage::Starting(it) => Stage::Stopped(it.stop()),
            Stage::Ready(it) => Stage::Leaving(it.leave(net.now, DIRECTIONS_TTL)),
            Stage::Leaving(_) | Stage::Stopped(_) => return,
        };
        net.ledger.record_host_leaving(self.number, net.now);
        net.list_host(self.number, Some(true));
        self.announce_phase(Phase::Leaving, net);
        if self.number == HOSTS - 1 {
            net.reach(Step::HostLeave, self.number, None);
        }
    }

    /// Whether new requests are rejected.
    fn rejects_new_work(&self, net: &Network) -> bool {
        match self.stage {
            Stage::Starting(_) | Stage::Stopped(_) => true,
            Stage::Ready(_) => false,
            Stage::Leaving(it) => it.admit(net.now) == member::Verdict::Redirect,
        }
    }

    /// Stops a leaving host once all directions to it have expired and its requests are finished.
    fn stop_if_finished(&mut self, net: &mut Network) {
        if let Stage::Leaving(it) = self.stage {
            let in_progress = if net.has_guard(Guard::GracefulStop) { self.tasks.len() } else { 0 };
            if let Ok(stopped) = it.finish(in_progress, net.now) {
                self.stage = Stage::Stopped(stopped);
            }
        }
        if !matches!(self.stage, Stage::Stopped(_)) {
            return;
        }
        net.up[self.number] = false;
        net.list_host(self.number, None);
        net.ledger.record_host_stop(self.number, self.served, self.tasks.len());
        net.send(Endpoint::Simulation, DIRECTIONS_TTL, Message::Start(self.number));
        if self.number == HOSTS - 1 {
            net.reach(Step::HostStop, self.number, None);
        }
    }
}

/// Id of a backend server in the document.
pub(super) fn upstream(backend: usize) -> balance::UpstreamId {
    format!("b{backend}").into()
}

/// The backend server with an id in the document.
fn backend(upstream: &str) -> usize {
    upstream.trim_start_matches('b').parse().unwrap_or_default()
}

/// Failure domain of a host or a backend server.
pub(super) fn domain(number: usize) -> balance::Domain {
    format!("d{number}").into()
}

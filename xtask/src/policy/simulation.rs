//! A discrete-event simulation of a scenario with one policy.

use std::time::{Duration, Instant};

use balance::{Completion, Digest, Outcome, Report};

use super::{
    baseline::{Baseline, Policy},
    entry_host::{Action, Arrival, EntryHost},
    event_queue::EventQueue,
    scenario::Scenario,
    server::{Server, draw_exponential, draw_work_s},
    stats::{End, Stats},
};

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 3;
/// Interval of the timer ticks of an entry host.
const TICK_S: f64 = 0.002;
/// Time until a server that fails fast answers.
const FAIL_FAST_S: f64 = 0.0002;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Arrival { rank: usize },
    RequestDelivery { upstream: usize, request: usize },
    Completion { upstream: usize, generation: u64 },
    Answer { request: usize, outcome: Outcome, report: Option<Report> },
    Noise { upstream: usize, starts: bool },
    Fault { index: usize, step: u32 },
    HostList { upstream: usize, leaving: bool },
    Tick { host: usize },
    DigestTimer { host: usize },
    DigestDelivery { host: usize, from: usize, digest: Digest },
    ProbeDelivery { host: usize, upstream: usize },
    ProbeAnswer { host: usize, upstream: usize, report: Report },
}

/// A request of a caller.
#[derive(Clone, Debug)]
struct Request {
    host: usize,
    rank: usize,
    arrived_s: f64,
    sent_s: f64,
    work_s: f64,
    tried: Vec<usize>,
    is_over: bool,
}

/// The entry hosts, all with the same policy.
pub(super) enum Hosts {
    Fireflydrum(Vec<EntryHost>),
    Baseline(Vec<Baseline>),
}

/// The state of a simulation.
pub(crate) struct Simulation<'a> {
    pub(super) scenario: &'a Scenario,
    origin: Instant,
    pub(super) now_s: f64,
    pub(super) event_queue: EventQueue<Event>,
    pub(super) servers: Vec<Server>,
    pub(super) hosts: Hosts,
    requests: Vec<Request>,
    arrivals: Vec<fastrand::Rng>,
    pub(super) noise: Vec<fastrand::Rng>,
    probes: Vec<(usize, usize)>,
    stats: Stats,
}

/// Simulates a scenario with a policy. Arrivals, their work and the noise depend only on the seed.
pub(crate) fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Stats {
    let mut simulation = Simulation::new(scenario, policy, seed);
    simulation.start();
    while let Some((at_s, event)) = simulation.event_queue.pop() {
        if at_s > scenario.duration_s {
            break;
        }
        simulation.now_s = at_s;
        simulation.handle(event);
    }
    simulation.end_pending();
    simulation.stats
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let origin = Instant::now();
        let mut seeds = fastrand::Rng::with_seed(seed);
        let mut fork = |count: usize| -> Vec<fastrand::Rng> {
            (0..count).map(|_| fastrand::Rng::with_seed(seeds.u64(..))).collect()
        };
        let arrivals = fork(scenario.ranks.len());
        let noise = fork(scenario.upstreams);
        let host_seeds = fork(scenario.hosts).into_iter().map(|mut it| it.u64(..)).enumerate();
        let hosts = match policy {
            Policy::Fireflydrum => Hosts::Fireflydrum(
                host_seeds.map(|(it, seed)| EntryHost::new(scenario, it, seed, origin)).collect(),
            ),
            _ => Hosts::Baseline(
                host_seeds
                    .map(|(it, seed)| {
                        Baseline::new(policy, it % scenario.domains, scenario.upstreams, seed)
                    })
                    .collect(),
            ),
        };
        Self {
            scenario,
            origin,
            now_s: 0.0,
            event_queue: EventQueue::default(),
            servers: (0..scenario.upstreams).map(|it| Server::new(scenario, it)).collect(),
            hosts,
            requests: Vec::new(),
            arrivals,
            noise,
            probes: Vec::new(),
            stats: Stats::new(scenario),
        }
    }

    fn start(&mut self) {
        for rank in 0..self.scenario.ranks.len() {
            self.schedule_arrival(rank);
        }
        if self.scenario.noise.every_ms > 0.0 {
            for upstream in 0..self.servers.len() {
                self.schedule_noise(upstream, true);
            }
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.event_queue.push(fault.at_s, Event::Fault { index, step: 0 });
        }
        if matches!(self.hosts, Hosts::Fireflydrum(_)) {
            for host in 0..self.scenario.hosts {
                let share = host as f64 / self.scenario.hosts as f64;
                self.event_queue.push(TICK_S * share, Event::Tick { host });
                if self.scenario.digest_period_ms > 0.0 {
                    let period_s = self.scenario.digest_period_ms / 1e3;
                    self.event_queue.push(period_s * share, Event::DigestTimer { host });
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { rank } => self.arrive(rank),
            Event::RequestDelivery { upstream, request } => self.on_request(upstream, request),
            Event::Completion { upstream, generation } => self.complete(upstream, generation),
            Event::Answer { request, outcome, report } => self.on_answer(request, outcome, report),
            Event::Noise { upstream, starts } => self.change_noise(upstream, starts),
            Event::Fault { index, step } => self.change_fault(index, step),
            Event::HostList { upstream, leaving } => self.set_leaving(upstream, leaving),
            Event::Tick { host } => self.tick(host),
            Event::DigestTimer { host } => self.send_digests(host),
            Event::DigestDelivery { host, from, digest } => {
                let now = self.now();
                let Hosts::Fireflydrum(hosts) = &mut self.hosts else { return };
                hosts[host].receive_digest(now, format!("h{from}").into(), digest);
            }
            Event::ProbeDelivery { host, upstream } => {
                self.probes.push((host, upstream));
                let work_s = self.scenario.probe_cost_ms / 1e3;
                self.push_work(upstream, None, work_s);
            }
            Event::ProbeAnswer { host, upstream, report } => {
                let now = self.now();
                let Hosts::Fireflydrum(hosts) = &mut self.hosts else { return };
                hosts[host].report(now, upstream, report);
            }
        }
    }

    fn arrive(&mut self, rank: usize) {
        self.schedule_arrival(rank);
        let rng = &mut self.arrivals[rank];
        let caller = rng.usize(..self.scenario.callers);
        let work_s = draw_work_s(self.scenario, rng);
        let host = caller % self.scenario.hosts;
        let request = self.requests.len();
        let arrived_s = self.now_s;
        let tried = Vec::new();
        self.requests.push(Request {
            host,
            rank,
            arrived_s,
            sent_s: arrived_s,
            work_s,
            tried,
            is_over: false,
        });
        let now = self.now();
        if let Hosts::Fireflydrum(hosts) = &mut self.hosts {
            let deadline = Duration::from_secs_f64(self.scenario.ranks[rank].deadline_ms / 1e3);
            let arrival = Arrival { request, rank, caller, deadline: now + deadline };
            let actions = hosts[host].offer(now, &arrival);
            self.perform(&actions);
        } else {
            self.send_by_baseline(request);
        }
    }

    fn send_by_baseline(&mut self, request: usize) {
        let scenario = self.scenario;
        let Hosts::Baseline(hosts) = &mut self.hosts else { return };
        let Request { host, tried, .. } = &self.requests[request];
        let delay_s = |a: usize, b: usize| scenario.delay_s(a, b);
        match hosts[*host].choose(tried, &self.servers, delay_s) {
            Some(upstream) => self.perform(&[Action::Send { request, upstream }]),
            None => self.end(request, End::Failed),
        }
    }

    fn perform(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send { request, upstream } => self.send(request, upstream),
                Action::Refuse { request } => self.end(request, End::Refused),
            }
        }
    }

    fn send(&mut self, request: usize, upstream: usize) {
        self.stats.dispatches += 1;
        self.stats.queue_length_sum += self.servers[upstream].queued() as u64;
        self.servers[upstream].in_transit += 1;
        self.requests[request].tried.push(upstream);
        self.requests[request].sent_s = self.now_s;
        let delay_s = self.delay_s(self.requests[request].host, upstream);
        self.event_queue.push(self.now_s + delay_s, Event::RequestDelivery { upstream, request });
    }

    fn on_request(&mut self, upstream: usize, request: usize) {
        let server = &mut self.servers[upstream];
        server.in_transit -= 1;
        let failure = match (server.is_draining, server.is_failing_fast) {
            (true, _) => Some((0.0, Outcome::NotSent)),
            (_, true) => Some((FAIL_FAST_S, Outcome::Failure)),
            _ => None,
        };
        if let Some((after_s, outcome)) = failure {
            let delay_s = after_s + self.delay_s(self.requests[request].host, upstream);
            let event = Event::Answer { request, outcome, report: None };
            self.event_queue.push(self.now_s + delay_s, event);
            return;
        }
        self.push_work(upstream, Some(request), self.requests[request].work_s);
    }

    fn push_work(&mut self, upstream: usize, request: Option<usize>, work_s: f64) {
        let server = &mut self.servers[upstream];
        server.advance(self.now_s);
        server.push(request, work_s);
        self.schedule_completion(upstream);
    }

    fn complete(&mut self, upstream: usize, generation: u64) {
        if self.servers[upstream].generation != generation {
            return;
        }
        self.servers[upstream].advance(self.now_s);
        while let Some(finished) = self.servers[upstream].pop_finished() {
            let report = self.servers[upstream].report(self.now_s);
            if let Some(request) = finished.work {
                let Request { host, rank, .. } = self.requests[request];
                self.stats.record_slot_time(self.scenario, rank, finished.started_s, self.now_s);
                let report = self.scenario.reports_on_answers.then_some(report);
                let event = Event::Answer { request, outcome: Outcome::Success, report };
                self.event_queue.push(self.now_s + self.delay_s(host, upstream), event);
            } else if let Some(found) = self.probes.iter().position(|it| it.1 == upstream) {
                let (host, _) = self.probes.swap_remove(found);
                let event = Event::ProbeAnswer { host, upstream, report };
                self.event_queue.push(self.now_s + self.delay_s(host, upstream), event);
            }
        }
        self.schedule_completion(upstream);
    }

    fn on_answer(&mut self, request: usize, outcome: Outcome, report: Option<Report>) {
        let Request { host, sent_s, ref tried, .. } = self.requests[request];
        let is_success = outcome == Outcome::Success;
        let will_retry = !is_success && tried.len() < MAX_ATTEMPTS;
        let upstream = tried[tried.len() - 1];
        let now = self.now();
        let latency = Duration::from_secs_f64(self.now_s - sent_s);
        match &mut self.hosts {
            Hosts::Fireflydrum(hosts) => {
                let completion = Completion { outcome, latency, report };
                let actions = hosts[host].end_attempt(now, request, completion, will_retry);
                self.perform(&actions);
            }
            Hosts::Baseline(hosts) => {
                hosts[host].end_attempt(upstream, report);
                if will_retry {
                    self.send_by_baseline(request);
                }
            }
        }
        if !will_retry {
            self.end(request, if is_success { End::Answered } else { End::Failed });
        }
    }

    fn end(&mut self, request: usize, end: End) {
        self.requests[request].is_over = true;
        let Request { rank, arrived_s, .. } = self.requests[request];
        self.stats.record_end(self.scenario, rank, arrived_s, self.now_s, end);
    }

    /// Records the unanswered requests whose deadline has passed at the end of the run.
    fn end_pending(&mut self) {
        let deadline_s = |it: &Request| self.scenario.ranks[it.rank].deadline_ms / 1e3;
        let late = |it: &Request| !it.is_over && it.arrived_s + deadline_s(it) < self.now_s;
        let late: Vec<usize> =
            (0..self.requests.len()).filter(|it| late(&self.requests[*it])).collect();
        for it in late {
            self.end(it, End::Answered);
        }
    }

    fn tick(&mut self, host: usize) {
        let now = self.now();
        self.event_queue.push(self.now_s + TICK_S, Event::Tick { host });
        let Hosts::Fireflydrum(hosts) = &mut self.hosts else { return };
        let actions = hosts[host].tick(now);
        let probed_upstream = hosts[host].probe(now);
        self.perform(&actions);
        if let Some(upstream) = probed_upstream {
            self.stats.record_probe(self.scenario, self.now_s);
            let delay_s = self.delay_s(host, upstream);
            self.event_queue.push(self.now_s + delay_s, Event::ProbeDelivery { host, upstream });
        }
    }

    fn send_digests(&mut self, from: usize) {
        let period_s = self.scenario.digest_period_ms / 1e3;
        self.event_queue.push(self.now_s + period_s, Event::DigestTimer { host: from });
        let Hosts::Fireflydrum(hosts) = &self.hosts else { return };
        let digest = hosts[from].digest();
        for host in (0..self.scenario.hosts).filter(|it| *it != from) {
            let delay_s =
                self.scenario.delay_s(from % self.scenario.domains, host % self.scenario.domains);
            let event = Event::DigestDelivery { host, from, digest: digest.clone() };
            self.event_queue.push(self.now_s + delay_s, event);
        }
    }

    fn schedule_arrival(&mut self, rank: usize) {
        let share = self.scenario.ranks[rank].share_percent / 100.0;
        let factor = self.scenario.flood_factor(rank, self.now_s);
        let arrivals_per_s = self.scenario.requests_per_s() * share * factor;
        if arrivals_per_s > 0.0 {
            let after_s = draw_exponential(&mut self.arrivals[rank]) / arrivals_per_s;
            self.event_queue.push(self.now_s + after_s, Event::Arrival { rank });
        }
    }

    pub(super) fn schedule_completion(&mut self, upstream: usize) {
        let server = &self.servers[upstream];
        let generation = server.generation;
        if let Some(at_s) = server.next_completion_s() {
            self.event_queue.push(at_s, Event::Completion { upstream, generation });
        }
    }

    fn delay_s(&self, host: usize, upstream: usize) -> f64 {
        self.scenario.delay_s(host % self.scenario.domains, self.servers[upstream].domain)
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_secs_f64(self.now_s)
    }
}

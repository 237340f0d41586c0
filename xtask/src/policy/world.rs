//! One run of a scenario under one policy: events on a virtual clock.

use std::time::{Duration, Instant};

use balance::{Completion, Digest, Outcome, Report};

use super::{
    agenda::Agenda,
    baseline::{Baseline, Policy},
    entry::{Action, Entry, Offer},
    scenario::Scenario,
    server::{Server, draw_exponential, draw_work_s},
    tally::{End, Tally},
};

/// Attempts that a request gets when attempts fail.
const MAX_ATTEMPTS: usize = 3;
/// Time between looks at what became due on an entry host.
const TICK_S: f64 = 0.002;
/// Time after which a server that fails fast answers.
const FAIL_FAST_S: f64 = 0.0002;

/// Something that happens at a moment.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Arrive { rank: usize },
    Reach { upstream: usize, request: usize },
    Complete { upstream: usize, generation: u64 },
    Return { request: usize, outcome: Outcome, report: Option<Report> },
    Noise { upstream: usize, starts: bool },
    Fault { index: usize, step: u32 },
    HostList { upstream: usize, leaving: bool },
    Tick { host: usize },
    Tell { host: usize },
    Hear { host: usize, from: usize, digest: Digest },
    ProbeReach { host: usize, upstream: usize },
    ProbeReturn { host: usize, upstream: usize, report: Report },
}

/// A request on its way.
#[derive(Clone, Debug)]
struct Request {
    host: usize,
    rank: usize,
    asked_s: f64,
    sent_s: f64,
    work_s: f64,
    tried: Vec<usize>,
    is_over: bool,
}

/// The entry hosts, all with the same policy.
pub(super) enum Hosts {
    Product(Vec<Entry>),
    Baseline(Vec<Baseline>),
}

/// One run.
pub(crate) struct World<'a> {
    pub(super) scenario: &'a Scenario,
    origin: Instant,
    pub(super) now_s: f64,
    pub(super) agenda: Agenda<Event>,
    pub(super) servers: Vec<Server>,
    pub(super) hosts: Hosts,
    requests: Vec<Request>,
    arrivals: Vec<fastrand::Rng>,
    pub(super) noise: Vec<fastrand::Rng>,
    probes: Vec<(usize, usize)>,
    tally: Tally,
}

/// Runs a scenario under a policy. The work that comes and the noise depend on the seed alone.
pub(crate) fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Tally {
    let mut world = World::new(scenario, policy, seed);
    world.start();
    while let Some((at_s, event)) = world.agenda.pop() {
        if at_s > scenario.duration_s {
            break;
        }
        world.now_s = at_s;
        world.handle(event);
    }
    world.end_pending();
    world.tally
}

impl<'a> World<'a> {
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
            Policy::Fireflydrum => Hosts::Product(
                host_seeds.map(|(it, seed)| Entry::new(scenario, it, seed, origin)).collect(),
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
            agenda: Agenda::default(),
            servers: (0..scenario.upstreams).map(|it| Server::new(scenario, it)).collect(),
            hosts,
            requests: Vec::new(),
            arrivals,
            noise,
            probes: Vec::new(),
            tally: Tally::new(scenario),
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
            self.agenda.push(fault.at_s, Event::Fault { index, step: 0 });
        }
        if matches!(self.hosts, Hosts::Product(_)) {
            for host in 0..self.scenario.hosts {
                let share = host as f64 / self.scenario.hosts as f64;
                self.agenda.push(TICK_S * share, Event::Tick { host });
                if self.scenario.digest_period_ms > 0.0 {
                    let period_s = self.scenario.digest_period_ms / 1e3;
                    self.agenda.push(period_s * share, Event::Tell { host });
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { rank } => self.arrive(rank),
            Event::Reach { upstream, request } => self.reach(upstream, request),
            Event::Complete { upstream, generation } => self.complete(upstream, generation),
            Event::Return { request, outcome, report } => self.take_back(request, outcome, report),
            Event::Noise { upstream, starts } => self.change_noise(upstream, starts),
            Event::Fault { index, step } => self.change_fault(index, step),
            Event::HostList { upstream, leaving } => self.set_leaving(upstream, leaving),
            Event::Tick { host } => self.tick(host),
            Event::Tell { host } => self.tell(host),
            Event::Hear { host, from, digest } => {
                let now = self.now();
                let Hosts::Product(hosts) = &mut self.hosts else { return };
                hosts[host].peer_digest(now, format!("h{from}").into(), digest);
            }
            Event::ProbeReach { host, upstream } => {
                self.probes.push((host, upstream));
                let work_s = self.scenario.probe_cost_ms / 1e3;
                self.push_work(upstream, None, work_s);
            }
            Event::ProbeReturn { host, upstream, report } => {
                let now = self.now();
                let Hosts::Product(hosts) = &mut self.hosts else { return };
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
        let asked_s = self.now_s;
        let tried = Vec::new();
        self.requests.push(Request {
            host,
            rank,
            asked_s,
            sent_s: asked_s,
            work_s,
            tried,
            is_over: false,
        });
        let now = self.now();
        if let Hosts::Product(hosts) = &mut self.hosts {
            let deadline = Duration::from_secs_f64(self.scenario.ranks[rank].deadline_ms / 1e3);
            let offer = Offer { request, rank, caller, deadline: now + deadline };
            let actions = hosts[host].offer(now, &offer);
            self.act(&actions);
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
            Some(upstream) => self.act(&[Action::Send { request, upstream }]),
            None => self.end(request, End::Failed),
        }
    }

    fn act(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send { request, upstream } => self.send(request, upstream),
                Action::Refuse { request } => self.end(request, End::Refused),
            }
        }
    }

    fn send(&mut self, request: usize, upstream: usize) {
        self.tally.dispatches += 1;
        self.tally.queue_seen += self.servers[upstream].queued() as u64;
        self.servers[upstream].in_transit += 1;
        self.requests[request].tried.push(upstream);
        self.requests[request].sent_s = self.now_s;
        let delay_s = self.delay_s(self.requests[request].host, upstream);
        self.agenda.push(self.now_s + delay_s, Event::Reach { upstream, request });
    }

    fn reach(&mut self, upstream: usize, request: usize) {
        let server = &mut self.servers[upstream];
        server.in_transit -= 1;
        let failure = match (server.drains, server.fails_fast) {
            (true, _) => Some((0.0, Outcome::NotSent)),
            (_, true) => Some((FAIL_FAST_S, Outcome::Failure)),
            _ => None,
        };
        if let Some((after_s, outcome)) = failure {
            let delay_s = after_s + self.delay_s(self.requests[request].host, upstream);
            let event = Event::Return { request, outcome, report: None };
            self.agenda.push(self.now_s + delay_s, event);
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
                self.tally.held_slot(self.scenario, rank, finished.started_s, self.now_s);
                let report = self.scenario.reports_on_answers.then_some(report);
                let event = Event::Return { request, outcome: Outcome::Success, report };
                self.agenda.push(self.now_s + self.delay_s(host, upstream), event);
            } else if let Some(found) = self.probes.iter().position(|it| it.1 == upstream) {
                let (host, _) = self.probes.swap_remove(found);
                let event = Event::ProbeReturn { host, upstream, report };
                self.agenda.push(self.now_s + self.delay_s(host, upstream), event);
            }
        }
        self.schedule_completion(upstream);
    }

    fn take_back(&mut self, request: usize, outcome: Outcome, report: Option<Report>) {
        let Request { host, sent_s, ref tried, .. } = self.requests[request];
        let good = outcome == Outcome::Success;
        let again = !good && tried.len() < MAX_ATTEMPTS;
        let upstream = tried[tried.len() - 1];
        let now = self.now();
        let latency = Duration::from_secs_f64(self.now_s - sent_s);
        match &mut self.hosts {
            Hosts::Product(hosts) => {
                let answer = Completion { outcome, latency, report };
                let actions = hosts[host].finished(now, request, answer, again);
                self.act(&actions);
            }
            Hosts::Baseline(hosts) => {
                hosts[host].finished(upstream, report);
                if again {
                    self.send_by_baseline(request);
                }
            }
        }
        if !again {
            self.end(request, if good { End::Answered } else { End::Failed });
        }
    }

    fn end(&mut self, request: usize, end: End) {
        self.requests[request].is_over = true;
        let Request { rank, asked_s, .. } = self.requests[request];
        self.tally.ended(self.scenario, rank, asked_s, self.now_s, end);
    }

    /// Counts the requests that are already late when the run ends.
    fn end_pending(&mut self) {
        let deadline_s = |it: &Request| self.scenario.ranks[it.rank].deadline_ms / 1e3;
        let late = |it: &Request| !it.is_over && it.asked_s + deadline_s(it) < self.now_s;
        let late: Vec<usize> =
            (0..self.requests.len()).filter(|it| late(&self.requests[*it])).collect();
        for it in late {
            self.end(it, End::Answered);
        }
    }

    fn tick(&mut self, host: usize) {
        let now = self.now();
        self.agenda.push(self.now_s + TICK_S, Event::Tick { host });
        let Hosts::Product(hosts) = &mut self.hosts else { return };
        let actions = hosts[host].tick(now);
        let probed = hosts[host].probe(now);
        self.act(&actions);
        if let Some(upstream) = probed {
            self.tally.probed(self.scenario, self.now_s);
            let delay_s = self.delay_s(host, upstream);
            self.agenda.push(self.now_s + delay_s, Event::ProbeReach { host, upstream });
        }
    }

    fn tell(&mut self, from: usize) {
        let period_s = self.scenario.digest_period_ms / 1e3;
        self.agenda.push(self.now_s + period_s, Event::Tell { host: from });
        let Hosts::Product(hosts) = &self.hosts else { return };
        let digest = hosts[from].digest();
        for host in (0..self.scenario.hosts).filter(|it| *it != from) {
            let delay_s =
                self.scenario.delay_s(from % self.scenario.domains, host % self.scenario.domains);
            let event = Event::Hear { host, from, digest: digest.clone() };
            self.agenda.push(self.now_s + delay_s, event);
        }
    }

    fn schedule_arrival(&mut self, rank: usize) {
        let share = self.scenario.ranks[rank].share_percent / 100.0;
        let factor = self.scenario.flood_factor(rank, self.now_s);
        let per_s = self.scenario.requests_per_s() * share * factor;
        if per_s > 0.0 {
            let after_s = draw_exponential(&mut self.arrivals[rank]) / per_s;
            self.agenda.push(self.now_s + after_s, Event::Arrive { rank });
        }
    }

    pub(super) fn schedule_completion(&mut self, upstream: usize) {
        let server = &self.servers[upstream];
        let generation = server.generation;
        if let Some(at_s) = server.next_completion_s() {
            self.agenda.push(at_s, Event::Complete { upstream, generation });
        }
    }

    fn delay_s(&self, host: usize, upstream: usize) -> f64 {
        self.scenario.delay_s(host % self.scenario.domains, self.servers[upstream].domain)
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_secs_f64(self.now_s)
    }
}

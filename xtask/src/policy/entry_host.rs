//! An entry host that runs the balancer and admission gate of the daemon.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use admission::{Event, Gate, RequestId, Verdict};
use balance::{Balancer, Completion, Digest, Dispatch, HostId, Report, Settings, Upstream};

use super::scenario::Scenario;

/// An entry host's decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Action {
    /// Send the request to an upstream.
    Send { request: usize, upstream: usize },
    /// Refuse the request without sending it.
    Refuse { request: usize },
}

/// A request that arrives at an entry host.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) request: usize,
    pub(crate) rank: usize,
    pub(crate) caller: usize,
    pub(crate) deadline: Instant,
}

/// An entry host that runs the balancer and admission gate of the daemon.
#[derive(Debug)]
pub(crate) struct EntryHost {
    balancer: Balancer,
    gate: Gate,
    upstream_ids: Vec<Arc<str>>,
    ranks: Vec<Arc<str>>,
    /// Requests that the gate has admitted and that wait for an upstream with a free slot.
    admitted: VecDeque<usize>,
    dispatches: BTreeMap<usize, Dispatch>,
    /// Upstreams to which earlier attempts of a request were sent.
    tried: BTreeMap<usize, Vec<Arc<str>>>,
}

impl EntryHost {
    pub(crate) fn new(scenario: &Scenario, host: usize, seed: u64, now: Instant) -> Self {
        let domain = |it: usize| -> Arc<str> { format!("d{}", it % scenario.domains).into() };
        let upstream_ids: Vec<Arc<str>> =
            (0..scenario.upstreams).map(|it| format!("u{it}").into()).collect();
        let upstream = |(it, id): (usize, &Arc<str>)| Upstream {
            id: id.clone(),
            domain: domain(it),
            slots: scenario.slots,
        };
        let upstreams = upstream_ids.iter().enumerate().map(upstream).collect();
        let settings = settings(scenario);
        let mut balancer = Balancer::new(settings, domain(host), upstreams, seed, now);
        balancer.set_hosts(now, u32::try_from(scenario.hosts).unwrap_or(u32::MAX));
        let ranks: Vec<_> = scenario.ranks.iter().map(rank).collect();
        let gate = Gate::new(now, admission::Settings::default(), &ranks, balancer.capacity(now));
        let ranks = ranks.into_iter().map(|it| it.id).collect();
        Self {
            balancer,
            gate,
            upstream_ids,
            ranks,
            admitted: VecDeque::new(),
            dispatches: BTreeMap::new(),
            tried: BTreeMap::new(),
        }
    }

    /// Offers a new request to the admission gate.
    pub(crate) fn offer(&mut self, now: Instant, arrival: &Arrival) -> Vec<Action> {
        let mut res = self.update_capacity(now);
        let request = admission::Request {
            id: arrival.request as RequestId,
            rank: self.ranks[arrival.rank].clone(),
            caller: format!("c{}", arrival.caller).into(),
            deadline: arrival.deadline,
            expected: self.balancer.service_time(now),
        };
        match self.gate.offer(now, request) {
            Verdict::Admitted => self.admitted.push_back(arrival.request),
            Verdict::Queued { displaced } => {
                res.extend(displaced.map(|it| Action::Refuse { request: index(it.id) }));
            }
            Verdict::Refused(_) => res.push(Action::Refuse { request: arrival.request }),
        }
        self.send_admitted(now, &mut res);
        res
    }

    /// Records the end of an attempt. The request is retried if `will_retry` is set, and ends
    /// otherwise.
    pub(crate) fn end_attempt(
        &mut self,
        now: Instant,
        request: usize,
        completion: Completion,
        will_retry: bool,
    ) -> Vec<Action> {
        if let Some(dispatch) = self.dispatches.remove(&request) {
            if will_retry {
                self.tried.entry(request).or_default().push(dispatch.upstream().clone());
            }
            self.balancer.finished(now, dispatch, completion);
        }
        if will_retry {
            self.admitted.push_front(request);
            return self.tick(now);
        }
        self.tried.remove(&request);
        let served =
            (completion.outcome == balance::Outcome::Success).then_some(completion.latency);
        let events = self.gate.release(now, request as RequestId, served);
        let mut res = self.handle_events(events);
        res.extend(self.tick(now));
        res
    }

    /// Updates the gate's capacity, expires queued requests and sends admitted ones.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut res = self.update_capacity(now);
        self.send_admitted(now, &mut res);
        res
    }

    pub(crate) fn probe(&mut self, now: Instant) -> Option<usize> {
        let name = self.balancer.probe(now)?;
        self.upstream_ids.iter().position(|it| *it == name)
    }

    pub(crate) fn report(&mut self, now: Instant, upstream: usize, report: Report) {
        self.balancer.report(now, &self.upstream_ids[upstream], report);
    }

    pub(crate) fn set_leaving(&mut self, upstream: usize, leaving: bool) {
        self.balancer.set_leaving(&self.upstream_ids[upstream], leaving);
    }

    pub(crate) fn digest(&self) -> Digest {
        self.balancer.digest()
    }

    pub(crate) fn receive_digest(&mut self, now: Instant, host: HostId, digest: Digest) {
        self.balancer.receive_digest(now, host, digest);
    }

    /// Sets the gate's capacity to the balancer's current capacity, and expires queued requests.
    fn update_capacity(&mut self, now: Instant) -> Vec<Action> {
        let capacity = self.balancer.capacity(now);
        let mut events = self.gate.set_capacity(now, capacity);
        events.extend(self.gate.tick(now));
        self.handle_events(events)
    }

    fn handle_events(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut res = Vec::new();
        for event in events {
            match event {
                Event::Admit(id) => self.admitted.push_back(index(id)),
                Event::Expire(id) => res.push(Action::Refuse { request: index(id) }),
            }
        }
        res
    }

    fn send_admitted(&mut self, now: Instant, res: &mut Vec<Action>) {
        while let Some(&request) = self.admitted.front() {
            let tried = self.tried.get(&request).map_or(&[][..], Vec::as_slice);
            let Ok(choice) = self.balancer.choose(now, tried) else { return };
            self.admitted.pop_front();
            let upstream = self.upstream_ids.iter().position(|it| it == choice.dispatch.upstream());
            self.dispatches.insert(request, choice.dispatch);
            res.extend(upstream.map(|upstream| Action::Send { request, upstream }));
        }
    }
}

/// Settings of the balancer: the defaults, except for those that an operator sets per deployment.
fn settings(scenario: &Scenario) -> Settings {
    let round_trip = 2.0 * scenario.between_domains_ms;
    let extra = 2.0 * (scenario.between_domains_ms - scenario.same_domain_ms).max(0.0);
    Settings {
        round_trip: Duration::from_secs_f64(round_trip / 1e3),
        remote_penalty: Duration::from_secs_f64(extra / 1e3),
        probe_budget_per_s: scenario.probe_budget_per_s,
        ..Settings::default()
    }
}

fn rank(it: &super::scenario::Rank) -> admission::Rank {
    admission::Rank {
        id: it.name.as_str().into(),
        order: it.order,
        floor_percent: it.floor_percent,
    }
}

fn index(id: RequestId) -> usize {
    usize::try_from(id).unwrap_or(usize::MAX)
}

//! An entry host that runs the product's own balancer and admission gate.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use admission::{Event, Gate, RequestId, Verdict};
use balance::{Balancer, Completion, Digest, Dispatch, HostId, Report, Settings, Upstream};

use super::scenario::Scenario;

/// What an entry host decided about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Action {
    /// Send the request to an upstream.
    Send { request: usize, upstream: usize },
    /// Give up the request, which was never sent.
    Refuse { request: usize },
}

/// A request as an entry host sees it.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub(crate) request: usize,
    pub(crate) rank: usize,
    pub(crate) caller: usize,
    pub(crate) deadline: Instant,
}

/// An entry host that runs the product's own balancer and admission gate.
#[derive(Debug)]
pub(crate) struct Entry {
    balancer: Balancer,
    gate: Gate,
    names: Vec<Arc<str>>,
    ranks: Vec<Arc<str>>,
    /// Requests that hold a slot of the gate and wait for an upstream with room.
    admitted: VecDeque<usize>,
    dispatches: BTreeMap<usize, Dispatch>,
    /// Upstreams that were tried for a request.
    tried: BTreeMap<usize, Vec<Arc<str>>>,
}

impl Entry {
    pub(crate) fn new(scenario: &Scenario, host: usize, seed: u64, now: Instant) -> Self {
        let domain = |it: usize| -> Arc<str> { format!("d{}", it % scenario.domains).into() };
        let names: Vec<Arc<str>> =
            (0..scenario.upstreams).map(|it| format!("u{it}").into()).collect();
        let upstream = |(it, id): (usize, &Arc<str>)| Upstream {
            id: id.clone(),
            domain: domain(it),
            slots: scenario.slots,
        };
        let upstreams = names.iter().enumerate().map(upstream).collect();
        let settings = settings(scenario);
        let mut balancer = Balancer::new(settings, domain(host), upstreams, seed, now);
        balancer.set_hosts(now, u32::try_from(scenario.hosts).unwrap_or(u32::MAX));
        let ranks: Vec<_> = scenario.ranks.iter().map(rank).collect();
        let gate = Gate::new(now, admission::Settings::default(), &ranks, balancer.capacity(now));
        let ranks = ranks.into_iter().map(|it| it.id).collect();
        Self {
            balancer,
            gate,
            names,
            ranks,
            admitted: VecDeque::new(),
            dispatches: BTreeMap::new(),
            tried: BTreeMap::new(),
        }
    }

    /// Takes in a new request.
    pub(crate) fn offer(&mut self, now: Instant, offer: &Offer) -> Vec<Action> {
        let mut res = self.refresh(now);
        let request = admission::Request {
            id: offer.request as RequestId,
            rank: self.ranks[offer.rank].clone(),
            caller: format!("c{}", offer.caller).into(),
            deadline: offer.deadline,
            expected: self.balancer.service_time(now),
        };
        match self.gate.offer(now, request) {
            Verdict::Admitted => self.admitted.push_back(offer.request),
            Verdict::Queued { displaced } => {
                res.extend(displaced.map(|it| Action::Refuse { request: index(it.id) }));
            }
            Verdict::Refused(_) => res.push(Action::Refuse { request: offer.request }),
        }
        self.send_admitted(now, &mut res);
        res
    }

    /// Takes in the end of an attempt, after which the request is tried again or is over.
    pub(crate) fn finished(
        &mut self,
        now: Instant,
        request: usize,
        answer: Completion,
        again: bool,
    ) -> Vec<Action> {
        if let Some(dispatch) = self.dispatches.remove(&request) {
            if again {
                self.tried.entry(request).or_default().push(dispatch.upstream().clone());
            }
            self.balancer.finished(now, dispatch, answer);
        }
        if again {
            self.admitted.push_front(request);
            return self.tick(now);
        }
        self.tried.remove(&request);
        let served = (answer.outcome == balance::Outcome::Success).then_some(answer.latency);
        let events = self.gate.release(now, request as RequestId, served);
        let mut res = self.take_events(events);
        res.extend(self.tick(now));
        res
    }

    /// Does what became due.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut res = self.refresh(now);
        self.send_admitted(now, &mut res);
        res
    }

    pub(crate) fn probe(&mut self, now: Instant) -> Option<usize> {
        let name = self.balancer.probe(now)?;
        self.names.iter().position(|it| *it == name)
    }

    pub(crate) fn report(&mut self, now: Instant, upstream: usize, report: Report) {
        self.balancer.report(now, &self.names[upstream], report);
    }

    pub(crate) fn set_leaving(&mut self, upstream: usize, leaving: bool) {
        self.balancer.set_leaving(&self.names[upstream], leaving);
    }

    pub(crate) fn digest(&self) -> Digest {
        self.balancer.digest()
    }

    pub(crate) fn peer_digest(&mut self, now: Instant, host: HostId, digest: Digest) {
        self.balancer.receive_digest(now, host, digest);
    }

    /// Lets the gate give out as many slots as the balancer has room for.
    fn refresh(&mut self, now: Instant) -> Vec<Action> {
        let capacity = self.balancer.capacity(now);
        let mut events = self.gate.set_capacity(now, capacity);
        events.extend(self.gate.tick(now));
        self.take_events(events)
    }

    fn take_events(&mut self, events: Vec<Event>) -> Vec<Action> {
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
            let upstream = self.names.iter().position(|it| it == choice.dispatch.upstream());
            self.dispatches.insert(request, choice.dispatch);
            res.extend(upstream.map(|upstream| Action::Send { request, upstream }));
        }
    }
}

/// Settings of the product; only what the scenario's operators would set differs from the default.
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

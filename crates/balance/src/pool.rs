//! The upstreams of a service with the state of each.

use std::{
    collections::HashMap,
    ops::{Index, IndexMut},
};

use crate::{Domain, Settings, Upstream, UpstreamId, moment::Moment, peers::Peers, state::State};

/// The upstreams of a service, in the order in which this host takes them into its subset.
#[derive(Debug)]
pub(crate) struct Pool {
    local_domain: Domain,
    host_seed: u64,
    states: Vec<State>,
    indices: HashMap<UpstreamId, usize>,
    /// Number of upstreams that fail.
    failing: usize,
}

impl Pool {
    /// An empty pool, for a host in the failure domain `local_domain`.
    pub(crate) fn new(local_domain: Domain, host_seed: u64) -> Self {
        Self { local_domain, host_seed, states: Vec::new(), indices: HashMap::new(), failing: 0 }
    }

    /// Replaces the list of upstreams, and keeps the state of those that remain; new ones begin
    /// slow start at `now`.
    pub(crate) fn update(
        &mut self,
        now: Moment,
        settings: &Settings,
        hosts: u32,
        upstreams: Vec<Upstream>,
    ) {
        let mut known: HashMap<UpstreamId, State> =
            self.states.drain(..).map(|it| (it.upstream.id.clone(), it)).collect();
        for upstream in upstreams {
            let is_local = upstream.domain == self.local_domain;
            let state = match known.remove(&upstream.id) {
                Some(mut state) => {
                    state.is_local = is_local;
                    state.limit.set_slots(upstream.slots);
                    state.upstream = upstream;
                    state
                }
                None => State {
                    slow_start_from: Some(now),
                    ..State::new(upstream, is_local, hosts, self.host_seed)
                },
            };
            self.states.push(state);
        }
        self.states.sort_by_key(|it| it.subset_rank);
        self.indices =
            self.states.iter().enumerate().map(|(i, it)| (it.upstream.id.clone(), i)).collect();
        self.update_failing(settings);
    }

    /// Updates the load that peers cause on each upstream.
    pub(crate) fn apply_digests(&mut self, peers: &Peers) {
        let ids: Vec<_> = self.states.iter().map(|it| it.upstream.id.clone()).collect();
        let aggregates = peers.aggregates(ids.iter());
        for state in &mut self.states {
            state.peer_load = aggregates.get(&state.upstream.id).copied().unwrap_or_default();
        }
    }

    /// Records a successful answer of the upstream at `index`.
    pub(crate) fn succeeded(&mut self, now: Moment, settings: &Settings, index: usize) {
        let state = &mut self.states[index];
        let was_failing = state.health.is_failing(settings);
        if state.health.is_half_open(now) {
            state.slow_start_from = Some(now);
        }
        state.health.succeeded(now, settings);
        if was_failing {
            self.update_failing(settings);
        }
    }

    /// Records a failure of the upstream at `index`, and ejects it after enough consecutive
    /// failures unless the share of ejected upstreams would grow too large.
    pub(crate) fn failed(&mut self, now: Moment, settings: &Settings, index: usize) {
        let state = &mut self.states[index];
        state.health.failed(now, settings);
        if !state.health.is_failing(settings) {
            return;
        }
        self.update_failing(settings);
        let max_ejected = self.states.len() * settings.max_ejection_percent as usize / 100;
        let may_eject = self.ejected(now) < max_ejected;
        let health = &mut self.states[index].health;
        if may_eject && !health.is_ejected(now) {
            health.eject(now, settings);
        }
    }

    /// Number of upstreams that are ejected.
    pub(crate) fn ejected(&self, now: Moment) -> usize {
        self.states.iter().filter(|it| it.health.is_ejected(now)).count()
    }

    /// Whether failures are attributed to single upstreams. When more fail than the panic threshold
    /// allows, the cause is probably common to all, and failures and ejections are ignored.
    pub(crate) fn counts_failures(&self, settings: &Settings) -> bool {
        self.failing * 100 <= self.states.len() * settings.panic_threshold_percent as usize
    }

    /// Index of the upstream, among the first `subset`, with the oldest last report or probe, if
    /// that is old enough for a probe.
    pub(crate) fn stalest(&self, now: Moment, settings: &Settings, subset: usize) -> Option<usize> {
        let age = |it: &State| {
            let probed = it.probed_at.map_or(f64::INFINITY, |probed| now - probed);
            it.load.age(now).unwrap_or(f64::INFINITY).min(probed)
        };
        let min_age = settings.probe_after.as_secs_f64();
        let indexed = self.states.iter().enumerate().take(subset);
        let candidates = indexed.filter(|(_, it)| !it.is_leaving);
        let ages = candidates.map(|(index, it)| (index, age(it)));
        let old = ages.filter(|&(_, age)| age >= min_age);
        old.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
    }

    /// This host's requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.states.iter().map(|it| it.attempts.len()).sum()
    }

    /// Number of upstreams.
    pub(crate) fn len(&self) -> usize {
        self.states.len()
    }

    /// Index of an upstream.
    pub(crate) fn index_of(&self, upstream: &str) -> Option<usize> {
        self.indices.get(upstream).copied()
    }

    /// The upstreams in subset order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &State> {
        self.states.iter()
    }

    /// The upstreams in subset order, mutable.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut State> {
        self.states.iter_mut()
    }

    fn update_failing(&mut self, settings: &Settings) {
        self.failing = self.states.iter().filter(|it| it.health.is_failing(settings)).count();
    }
}

impl Index<usize> for Pool {
    type Output = State;

    fn index(&self, index: usize) -> &State {
        &self.states[index]
    }
}

impl IndexMut<usize> for Pool {
    fn index_mut(&mut self, index: usize) -> &mut State {
        &mut self.states[index]
    }
}

//! The upstreams of a service with what is known of each.

use std::{
    collections::HashMap,
    ops::{Index, IndexMut},
};

use crate::{Domain, Settings, Upstream, UpstreamId, moment::Moment, peers::Peers, state::State};

/// The upstreams of a service, in the order in which this host takes them into its subset.
#[derive(Debug)]
pub(crate) struct Fleet {
    home: Domain,
    host_seed: u64,
    states: Vec<State>,
    places: HashMap<UpstreamId, usize>,
    failing: usize,
}

impl Fleet {
    /// An empty fleet, seen from a host in the failure domain `home`.
    pub(crate) fn new(home: Domain, host_seed: u64) -> Self {
        Self { home, host_seed, states: Vec::new(), places: HashMap::new(), failing: 0 }
    }

    /// Takes in a new list of upstreams and keeps what is known of those that stay; those that are
    /// new are brought up from `now`.
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
            let home = upstream.domain == self.home;
            let state = match known.remove(&upstream.id) {
                Some(mut state) => {
                    state.home = home;
                    state.limit.set_slots(upstream.slots);
                    state.upstream = upstream;
                    state
                }
                None => State {
                    ramp_from: Some(now),
                    ..State::new(upstream, home, hosts, self.host_seed)
                },
            };
            self.states.push(state);
        }
        self.states.sort_by_key(|it| it.order);
        self.places =
            self.states.iter().enumerate().map(|(i, it)| (it.upstream.id.clone(), i)).collect();
        self.count_failing(settings);
    }

    /// Takes in what the peers said.
    pub(crate) fn spread_digests(&mut self, peers: &Peers) {
        let ids: Vec<_> = self.states.iter().map(|it| it.upstream.id.clone()).collect();
        let told = peers.told(ids.iter());
        for state in &mut self.states {
            state.told = told.get(&state.upstream.id).copied().unwrap_or_default();
        }
    }

    /// Takes in a good answer of the upstream at `place`.
    pub(crate) fn succeeded(&mut self, now: Moment, settings: &Settings, place: usize) {
        let state = &mut self.states[place];
        let was_failing = state.health.is_failing(settings);
        if state.health.is_on_trial(now) {
            state.ramp_from = Some(now);
        }
        state.health.succeeded(now, settings);
        if was_failing {
            self.count_failing(settings);
        }
    }

    /// Takes in a failure of the upstream at `place` and ejects it if it fails often, unless the
    /// share of ejected upstreams would grow too large.
    pub(crate) fn failed(&mut self, now: Moment, settings: &Settings, place: usize) {
        let state = &mut self.states[place];
        state.health.failed(now, settings);
        if !state.health.is_failing(settings) {
            return;
        }
        self.count_failing(settings);
        let most = self.states.len() * settings.ejected_percent as usize / 100;
        let may_eject = self.ejected(now) < most;
        let health = &mut self.states[place].health;
        if may_eject && !health.is_ejected(now) {
            health.eject(now, settings);
        }
    }

    /// Upstreams that are ejected.
    pub(crate) fn ejected(&self, now: Moment) -> usize {
        self.states.iter().filter(|it| it.health.is_ejected(now)).count()
    }

    /// Whether failures are a sign of single upstreams: they are not when most upstreams fail.
    pub(crate) fn trusts_failures(&self, settings: &Settings) -> bool {
        self.failing * 100 <= self.states.len() * settings.distrust_percent as usize
    }

    /// The one of the first `subset` upstreams whose last report or probe is oldest, if it is old
    /// enough for a probe.
    pub(crate) fn stalest(&self, now: Moment, settings: &Settings, subset: usize) -> Option<usize> {
        let age = |it: &State| {
            let probed = it.probed_at.map_or(f64::INFINITY, |probed| now - probed);
            it.load.age(now).unwrap_or(f64::INFINITY).min(probed)
        };
        let least = settings.probe_age.as_secs_f64();
        let indexed = self.states.iter().enumerate().take(subset);
        let staying = indexed.filter(|(_, it)| !it.leaving);
        let ages = staying.map(|(place, it)| (place, age(it)));
        let old = ages.filter(|&(_, age)| age >= least);
        old.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(place, _)| place)
    }

    /// Own requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.states.iter().map(|it| it.flights.len()).sum()
    }

    /// Upstreams in the fleet.
    pub(crate) fn len(&self) -> usize {
        self.states.len()
    }

    /// Place of an upstream.
    pub(crate) fn place(&self, upstream: &str) -> Option<usize> {
        self.places.get(upstream).copied()
    }

    /// The upstreams in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &State> {
        self.states.iter()
    }

    /// The upstreams in order, to be changed.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut State> {
        self.states.iter_mut()
    }

    fn count_failing(&mut self, settings: &Settings) {
        self.failing = self.states.iter().filter(|it| it.health.is_failing(settings)).count();
    }
}

impl Index<usize> for Fleet {
    type Output = State;

    fn index(&self, place: usize) -> &State {
        &self.states[place]
    }
}

impl IndexMut<usize> for Fleet {
    fn index_mut(&mut self, place: usize) -> &mut State {
        &mut self.states[place]
    }
}

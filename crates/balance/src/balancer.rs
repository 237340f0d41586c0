//! The balancer of one service.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    Answer, Candidate, Choice, Digest, Dispatch, Domain, Entry, HostId, Outcome, Reason, Refusal,
    Report, Result, Settings, Upstream, UpstreamId,
    bucket::Bucket,
    limit::Limit,
    moment::{self, Moment, duration},
    peers::Peers,
    ranking::{Place, Ranking},
    service::Service,
    state::{Flight, State},
    subset::Subset,
};

/// Windows of a sample that are searched for room before a choice is refused.
const WINDOWS: usize = 4;
/// Share of the mean service time after which a refused request may try again.
const RETRY_SHARE: f64 = 0.25;

/// Chooses among the upstreams of one service and learns from the answers.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    home: Domain,
    hosts: u32,
    origin: Instant,
    seed: u64,
    rng: fastrand::Rng,
    states: Vec<State>,
    places: HashMap<UpstreamId, usize>,
    serial: u64,
    service: Service,
    subset: Subset,
    in_flight: usize,
    failing: usize,
    peers: Peers,
    bucket: Bucket,
    /// Kept between choices for its memory.
    ranking: Ranking,
    probes: u64,
}

impl Balancer {
    /// A balancer for `upstreams` on a host in the failure domain `home`.
    ///
    /// Hosts need different seeds, or all of them prefer the same upstreams.
    ///
    /// The upstreams given here are taken to be at work already; those that
    /// [`update`](Self::update) adds are brought up over the settings' ramp.
    #[must_use]
    pub fn new(
        settings: Settings,
        home: Domain,
        upstreams: Vec<Upstream>,
        seed: u64,
        now: Instant,
    ) -> Self {
        let hosts = settings.hosts.max(1);
        let bucket = Bucket::new(settings.probe_burst);
        let mut res = Self {
            settings,
            home,
            hosts,
            origin: now,
            rng: fastrand::Rng::with_seed(seed),
            states: Vec::new(),
            places: HashMap::new(),
            serial: 0,
            service: Service::default(),
            subset: Subset::new(upstreams.len()),
            in_flight: 0,
            seed,
            failing: 0,
            peers: Peers::default(),
            bucket,
            ranking: Ranking::default(),
            probes: 0,
        };
        res.update(now, upstreams);
        res.states.iter_mut().for_each(|it| it.ramp_from = None);
        res.set_hosts(now, hosts);
        res
    }

    /// Takes in a new list of upstreams and keeps what is known of those that stay.
    pub fn update(&mut self, now: Instant, upstreams: Vec<Upstream>) {
        let at = self.moment(now);
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
                    ramp_from: Some(at),
                    ..State::new(upstream, home, self.hosts, self.seed)
                },
            };
            self.states.push(state);
        }
        self.states.sort_by_key(|it| it.order);
        self.in_flight = self.states.iter().map(|it| it.flights.len()).sum();
        self.places =
            self.states.iter().enumerate().map(|(i, it)| (it.upstream.id.clone(), i)).collect();
        self.count_failing();
        self.spread_digests();
    }

    /// Sets the number of entry hosts that may be at work, among which the probe budget is shared
    /// evenly.
    ///
    /// A host that may only have been cut off counts, or the hosts on the two sides of a cut would
    /// together spend more than the budget.
    pub fn set_hosts(&mut self, now: Instant, hosts: u32) {
        let at = self.moment(now);
        self.hosts = hosts.max(1);
        self.bucket.set_rate(self.settings.probe_budget_per_s / f64::from(self.hosts), at);
        if self.serial == 0 {
            self.states.iter_mut().for_each(|it| it.limit = Limit::new(it.upstream.slots, hosts));
        }
    }

    /// Sets the probes a second that all entry hosts together may send; 0 sends none.
    pub fn set_probe_budget(&mut self, now: Instant, budget_per_s: f64) {
        self.settings.probe_budget_per_s = budget_per_s;
        self.set_hosts(now, self.hosts);
    }

    /// Marks an upstream as leaving, which gets no new work, or as staying.
    pub fn set_leaving(&mut self, upstream: &str, leaving: bool) {
        if let Some(state) = self.state(upstream) {
            state.leaving = leaving;
        }
    }

    /// Chooses an upstream that is not among those already `tried`, and counts the attempt as in
    /// flight.
    ///
    /// # Errors
    ///
    /// Says why no upstream was chosen; nothing counts as in flight then.
    pub fn choose(&mut self, now: Instant, tried: &[UpstreamId]) -> Result<Choice> {
        let at = self.moment(now);
        let (best, runner_up) = self.weigh(at, tried)?;
        let chosen = self.candidate(best);
        let runner_up = runner_up.map(|it| self.candidate(it));
        self.serial += 1;
        let flight = Flight { serial: self.serial, at, stretch: best.view.stretch };
        self.states[best.index].flights.push(flight);
        self.in_flight += 1;
        self.subset.observe(at, self.in_flight);
        let dispatch = Dispatch { upstream: chosen.upstream.clone(), serial: self.serial, at: now };
        Ok(Choice { dispatch, chosen, runner_up, weighed: self.ranking.weighed })
    }

    /// Takes in the end of an attempt.
    pub fn finished(&mut self, now: Instant, dispatch: Dispatch, answer: Answer) {
        let at = self.moment(now);
        let means = self.service.means(at, &self.settings);
        let Dispatch { upstream, serial, .. } = dispatch;
        let Some(&place) = self.places.get(&upstream) else { return };
        let state = &mut self.states[place];
        let Some(found) = state.flights.iter().position(|it| it.serial == serial) else { return };
        let flight = state.flights.remove(found);
        self.in_flight -= 1;
        self.subset.observe(at, self.in_flight);
        let time = answer.latency.as_secs_f64() / flight.stretch;
        let memory = self.settings.speed_memory.as_secs_f64();
        match answer.outcome {
            Outcome::Success => {
                state.speed.answered(at, memory, time);
                self.service.answered(at, time);
                self.succeeded(place, at);
            }
            Outcome::Failure | Outcome::NotSent => {
                state.speed.spent(at, memory, time);
                self.failed(place, at);
            }
            Outcome::Overload => state.limit.overloaded(),
            Outcome::Cancelled => state.speed.spent(at, memory, time),
        }
        match answer.report {
            Some(report) => self.take_report(place, at, report),
            None if answer.outcome == Outcome::Success => {
                self.states[place].limit.answered(time / means.service_time);
            }
            None => {}
        }
    }

    /// Takes in a load report that came by other ways than an answer.
    pub fn report(&mut self, now: Instant, upstream: &str, report: Report) {
        let at = self.moment(now);
        if let Some(&place) = self.places.get(upstream) {
            self.take_report(place, at, report);
        }
    }

    /// Names an upstream that should be probed now, if one is worth it and the budget allows it.
    ///
    /// Each name given spends a probe of the budget, whether the probe is sent or not.
    pub fn probe(&mut self, now: Instant) -> Option<UpstreamId> {
        let at = self.moment(now);
        let place = self.stalest(at)?;
        if !self.bucket.take(at) {
            return None;
        }
        self.probes += 1;
        let state = &mut self.states[place];
        state.probed_at = Some(at);
        Some(state.upstream.id.clone())
    }

    /// Probes named so far.
    #[must_use]
    pub fn probes(&self) -> u64 {
        self.probes
    }

    /// Own requests in flight, for the peers.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let busy = self.states.iter().filter(|it| it.own() > 0);
        let entry = |it: &State| Entry { upstream: it.upstream.id.clone(), in_flight: it.own() };
        Digest { entries: busy.map(entry).collect() }
    }

    /// Takes in what a peer said of its own requests in flight.
    pub fn peer_digest(&mut self, now: Instant, host: HostId, digest: Digest) {
        let at = self.moment(now);
        let life = self.settings.digest_life.as_secs_f64();
        self.peers.insert(at, life, host, digest);
        self.spread_digests();
    }

    /// Forgets what a peer said, because it has left.
    pub fn forget_peer(&mut self, host: &str) {
        self.peers.remove(host);
        self.spread_digests();
    }

    /// Requests that may be in flight to all upstreams together at `now`, those that are included.
    #[must_use]
    pub fn capacity(&self, now: Instant) -> u32 {
        let at = self.moment(now);
        let means = self.service.means(at, &self.settings);
        let trusted = self.trusts_failures();
        let open = |it: &&State| it.may_work(at, trusted);
        let room = |it: &State| it.room(at, &self.settings, means);
        let own: u32 = self.states.iter().map(State::own).sum();
        own + self.states.iter().filter(open).map(room).sum::<u32>()
    }

    /// Mean time that the service's upstreams work on a request, without waiting.
    #[must_use]
    pub fn service_time(&self, now: Instant) -> Duration {
        duration(self.service.means(self.moment(now), &self.settings).service_time)
    }

    /// Own requests in flight to an upstream.
    #[must_use]
    pub fn in_flight(&self, upstream: &str) -> u32 {
        self.places.get(upstream).map_or(0, |&place| self.states[place].own())
    }

    /// Changes of the size of the subset that is weighed first.
    #[must_use]
    pub fn subset_changes(&self) -> u64 {
        self.subset.changes()
    }

    /// Upstreams that are weighed first; the others are when none of these has room.
    #[must_use]
    pub fn subset(&self) -> usize {
        self.subset.size(self.states.len())
    }

    /// Upstreams that are ejected at `now`.
    #[must_use]
    pub fn ejected(&self, now: Instant) -> usize {
        let at = self.moment(now);
        self.states.iter().filter(|it| it.health.is_ejected(at)).count()
    }

    fn weigh(&mut self, at: Moment, tried: &[UpstreamId]) -> Result<(Place, Option<Place>)> {
        let means = self.service.means(at, &self.settings);
        let trusted = self.trusts_failures();
        let len = self.states.len();
        let subset = self.subset.size(len);
        let sample = self.settings.sample.max(1);
        let start = if subset > sample { self.rng.usize(..subset) } else { 0 };
        self.ranking.clear();
        let mut reason = Reason::NoUpstream;
        for step in 0..len.min(sample.saturating_mul(WINDOWS)) {
            let is_enough = self.ranking.weighed as usize >= sample.min(subset);
            if is_enough && !self.ranking.is_empty() {
                break;
            }
            let index = if step < subset { (start + step) % subset } else { step };
            let state = &self.states[index];
            if !state.may_work(at, trusted) {
                continue;
            }
            if tried.contains(&state.upstream.id) {
                reason = reason.max(Reason::AllTried);
                continue;
            }
            self.ranking.weighed += 1;
            let view = state.view(at, &self.settings, means, trusted);
            if view.has_room {
                self.ranking.offer(Place { index, view });
            } else {
                reason = Reason::Full;
            }
        }
        let retry_after = duration(means.service_time * RETRY_SHARE);
        let tie = 1.0 + f64::from(self.settings.tie_percent) / 100.0;
        self.ranking.pick(&mut self.rng, tie).ok_or(Refusal { reason, retry_after })
    }

    fn candidate(&self, place: Place) -> Candidate {
        let state = &self.states[place.index];
        Candidate {
            upstream: state.upstream.id.clone(),
            expected: duration(place.view.expected),
            own: state.own(),
            others: place.view.others,
        }
    }

    fn succeeded(&mut self, place: usize, at: Moment) {
        let state = &mut self.states[place];
        let was_failing = state.health.is_failing(&self.settings);
        if state.health.is_on_trial(at) {
            state.ramp_from = Some(at);
        }
        state.health.succeeded(at, &self.settings);
        if was_failing {
            self.count_failing();
        }
    }

    fn failed(&mut self, place: usize, at: Moment) {
        let state = &mut self.states[place];
        state.health.failed(at, &self.settings);
        if !state.health.is_failing(&self.settings) {
            return;
        }
        self.count_failing();
        let ejected = self.states.iter().filter(|it| it.health.is_ejected(at)).count();
        let most = self.states.len() * self.settings.ejected_percent as usize / 100;
        let state = &mut self.states[place];
        if !state.health.is_ejected(at) && ejected < most {
            state.health.eject(at, &self.settings);
        }
    }

    fn take_report(&mut self, place: usize, at: Moment, report: Report) {
        let state = &mut self.states[place];
        let own = state.own_in_report(at, &self.settings);
        state.load.reported(at, report.total(), own);
        state.limit.reported(at, report, self.settings.queue_percent);
        let per_slot = state.load.others() / state.slots();
        self.service.reported(at, per_slot);
    }

    /// The upstream whose last report or probe is oldest, if it is old enough for a probe.
    fn stalest(&self, at: Moment) -> Option<usize> {
        let age = |it: &State| {
            let probed = it.probed_at.map_or(f64::INFINITY, |probed| at - probed);
            it.load.age(at).unwrap_or(f64::INFINITY).min(probed)
        };
        let least = self.settings.probe_age.as_secs_f64();
        self.states
            .iter()
            .enumerate()
            .take(self.subset.size(self.states.len()))
            .filter(|(_, it)| !it.leaving)
            .map(|(place, it)| (place, age(it)))
            .filter(|&(_, age)| age >= least)
            .max_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(place, _)| place)
    }

    /// Failures say nothing of one upstream when most upstreams fail.
    fn trusts_failures(&self) -> bool {
        self.failing * 100 <= self.states.len() * self.settings.distrust_percent as usize
    }

    fn count_failing(&mut self) {
        self.failing = self.states.iter().filter(|it| it.health.is_failing(&self.settings)).count();
    }

    fn spread_digests(&mut self) {
        let ids: Vec<_> = self.states.iter().map(|it| it.upstream.id.clone()).collect();
        let told = self.peers.told(ids.iter());
        for state in &mut self.states {
            state.told = told.get(&state.upstream.id).copied().unwrap_or_default();
        }
    }

    fn state(&mut self, upstream: &str) -> Option<&mut State> {
        let place = *self.places.get(upstream)?;
        Some(&mut self.states[place])
    }

    fn moment(&self, now: Instant) -> Moment {
        moment::since(self.origin, now)
    }
}

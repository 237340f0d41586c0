//! The balancer of one service.

use std::time::{Duration, Instant};

use crate::{
    Answer, Candidate, Choice, Digest, Dispatch, Domain, Entry, HostId, Outcome, Reason, Refusal,
    Report, Result, Settings, Upstream, UpstreamId,
    bucket::Bucket,
    fleet::Fleet,
    limit::Limit,
    moment::{self, Moment, duration},
    peers::Peers,
    ranking::{Place, Ranking},
    service::Service,
    state::{self, Flight, State},
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
    hosts: u32,
    origin: Instant,
    rng: fastrand::Rng,
    fleet: Fleet,
    serial: u64,
    service: Service,
    subset: Subset,
    in_flight: usize,
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
            hosts,
            origin: now,
            rng: fastrand::Rng::with_seed(seed),
            fleet: Fleet::new(home, seed),
            serial: 0,
            service: Service::default(),
            subset: Subset::new(upstreams.len()),
            in_flight: 0,
            peers: Peers::default(),
            bucket,
            ranking: Ranking::default(),
            probes: 0,
        };
        res.update(now, upstreams);
        res.fleet.iter_mut().for_each(|it| it.ramp_from = None);
        res.set_hosts(now, hosts);
        res
    }

    /// Takes in a new list of upstreams and keeps what is known of those that stay.
    pub fn update(&mut self, now: Instant, upstreams: Vec<Upstream>) {
        let at = self.moment(now);
        self.fleet.update(at, &self.settings, self.hosts, upstreams);
        self.in_flight = self.fleet.in_flight();
        self.fleet.spread_digests(&self.peers);
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
            self.fleet.iter_mut().for_each(|it| it.limit = Limit::new(it.upstream.slots, hosts));
        }
    }

    /// Sets the probes a second that all entry hosts together may send; 0 sends none.
    pub fn set_probe_budget(&mut self, now: Instant, budget_per_s: f64) {
        self.settings.probe_budget_per_s = budget_per_s;
        self.set_hosts(now, self.hosts);
    }

    /// Marks an upstream as leaving, which gets no new work, or as staying.
    pub fn set_leaving(&mut self, upstream: &str, leaving: bool) {
        if let Some(place) = self.fleet.place(upstream) {
            self.fleet[place].leaving = leaving;
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
        self.fleet[best.index].flights.push(flight);
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
        let Some(place) = self.fleet.place(&upstream) else { return };
        let state = &mut self.fleet[place];
        let Some(found) = state.flights.iter().position(|it| it.serial == serial) else { return };
        let flight = state.flights.remove(found);
        self.in_flight -= 1;
        self.subset.observe(at, self.in_flight);
        let time = answer.latency.as_secs_f64() / flight.stretch;
        let memory = state::speed_memory(&self.settings, means);
        match answer.outcome {
            Outcome::Success => {
                state.speed.answered(at, memory, time);
                self.service.answered(at, time);
                self.fleet.succeeded(at, &self.settings, place);
            }
            Outcome::Failure | Outcome::NotSent => {
                state.speed.spent(at, memory, time);
                self.fleet.failed(at, &self.settings, place);
            }
            Outcome::Overload => state.limit.overloaded(),
            Outcome::Cancelled => state.speed.spent(at, memory, time),
        }
        match answer.report {
            Some(report) => self.take_report(place, at, report),
            None if answer.outcome == Outcome::Success => {
                self.fleet[place].limit.answered(time / means.service_time);
            }
            None => {}
        }
    }

    /// Takes in a load report that came by other ways than an answer.
    pub fn report(&mut self, now: Instant, upstream: &str, report: Report) {
        let at = self.moment(now);
        if let Some(place) = self.fleet.place(upstream) {
            self.take_report(place, at, report);
        }
    }

    /// Names an upstream that should be probed now, if one is worth it and the budget allows it.
    ///
    /// Each name given spends a probe of the budget, whether the probe is sent or not.
    pub fn probe(&mut self, now: Instant) -> Option<UpstreamId> {
        let at = self.moment(now);
        let place = self.fleet.stalest(at, &self.settings, self.subset())?;
        if !self.bucket.take(at) {
            return None;
        }
        self.probes += 1;
        let state = &mut self.fleet[place];
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
        let busy = self.fleet.iter().filter(|it| it.own() > 0);
        let entry = |it: &State| Entry { upstream: it.upstream.id.clone(), in_flight: it.own() };
        Digest { entries: busy.map(entry).collect() }
    }

    /// Takes in what a peer said of its own requests in flight.
    pub fn peer_digest(&mut self, now: Instant, host: HostId, digest: Digest) {
        let at = self.moment(now);
        let life = self.settings.digest_life.as_secs_f64();
        self.peers.insert(at, life, host, digest);
        self.fleet.spread_digests(&self.peers);
    }

    /// Forgets what a peer said, because it has left.
    pub fn forget_peer(&mut self, host: &str) {
        self.peers.remove(host);
        self.fleet.spread_digests(&self.peers);
    }

    /// Requests that may be in flight to all upstreams together at `now`, those that are included.
    #[must_use]
    pub fn capacity(&self, now: Instant) -> u32 {
        let at = self.moment(now);
        let means = self.service.means(at, &self.settings);
        let trusted = self.fleet.trusts_failures(&self.settings);
        let open = |it: &&State| it.may_work(at, trusted);
        let room = |it: &State| it.room(at, &self.settings, means);
        let own = u32::try_from(self.in_flight).unwrap_or(u32::MAX);
        let within = self.settings.sample.saturating_mul(WINDOWS);
        own + self.fleet.iter().take(within).filter(open).map(room).sum::<u32>()
    }

    /// Mean time that the service's upstreams work on a request, without waiting.
    #[must_use]
    pub fn service_time(&self, now: Instant) -> Duration {
        duration(self.service.means(self.moment(now), &self.settings).service_time)
    }

    /// Own requests in flight to an upstream.
    #[must_use]
    pub fn in_flight(&self, upstream: &str) -> u32 {
        self.fleet.place(upstream).map_or(0, |place| self.fleet[place].own())
    }

    /// Changes of the size of the subset that is weighed first.
    #[must_use]
    pub fn subset_changes(&self) -> u64 {
        self.subset.changes()
    }

    /// Upstreams that are weighed first; the others are when none of these has room.
    #[must_use]
    pub fn subset(&self) -> usize {
        self.subset.size(self.fleet.len())
    }

    /// Upstreams that are ejected at `now`.
    #[must_use]
    pub fn ejected(&self, now: Instant) -> usize {
        let at = self.moment(now);
        self.fleet.ejected(at)
    }

    fn weigh(&mut self, at: Moment, tried: &[UpstreamId]) -> Result<(Place, Option<Place>)> {
        let means = self.service.means(at, &self.settings);
        let trusted = self.fleet.trusts_failures(&self.settings);
        let len = self.fleet.len();
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
            let state = &self.fleet[index];
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
        let state = &self.fleet[place.index];
        Candidate {
            upstream: state.upstream.id.clone(),
            expected: duration(place.view.expected),
            own: state.own(),
            others: place.view.others,
        }
    }

    fn take_report(&mut self, place: usize, at: Moment, report: Report) {
        let state = &mut self.fleet[place];
        let own = state.own_in_report(at, &self.settings);
        state.load.reported(at, report.total(), own);
        state.limit.reported(at, report, self.settings.queue_percent);
        let per_slot = state.load.others() / state.slots();
        self.service.reported(at, per_slot);
    }

    fn moment(&self, now: Instant) -> Moment {
        moment::since(self.origin, now)
    }
}

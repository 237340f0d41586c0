//! The balancer of one service.

use std::time::{Duration, Instant};

use crate::{
    Candidate, Choice, Completion, Digest, Dispatch, Domain, Entry, HostId, Outcome, Reason,
    Refusal, Report, Result, Settings, Upstream, UpstreamId,
    bucket::Bucket,
    limit::Limit,
    moment::{self, Moment, duration},
    peers::Peers,
    pool::Pool,
    ranking::{Ranking, Score},
    service::Service,
    state::{self, Attempt, State},
    subset::Subset,
};

/// Maximum number of upstreams that are searched for room before a choice is refused, in multiples
/// of the sample size.
const MAX_SAMPLES: usize = 4;
/// Time after which a refused request may try again, in mean service times.
const RETRY_AFTER_SERVICE_TIMES: f64 = 0.25;

/// Chooses among the upstreams of one service, and updates its estimates from the answers.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    hosts: u32,
    origin: Instant,
    rng: fastrand::Rng,
    pool: Pool,
    /// Attempts started so far; the serial number of the latest.
    serial: u64,
    service: Service,
    subset: Subset,
    in_flight: usize,
    peers: Peers,
    bucket: Bucket,
    /// Kept between choices to reuse its allocation.
    ranking: Ranking,
    probes: u64,
}

impl Balancer {
    /// A balancer for `upstreams` on a host in the failure domain `domain`.
    ///
    /// Each host needs a different seed; with equal seeds, all hosts prefer the same upstreams.
    ///
    /// The upstreams given here are assumed to be warm; those that
    /// [`set_upstreams`](Self::set_upstreams) adds go through slow start.
    #[must_use]
    pub fn new(
        settings: Settings,
        domain: Domain,
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
            pool: Pool::new(domain, seed),
            serial: 0,
            service: Service::default(),
            subset: Subset::new(upstreams.len()),
            in_flight: 0,
            peers: Peers::default(),
            bucket,
            ranking: Ranking::default(),
            probes: 0,
        };
        res.set_upstreams(now, upstreams);
        res.pool.iter_mut().for_each(|it| it.slow_start_from = None);
        res.set_hosts(now, hosts);
        res
    }

    /// Replaces the list of upstreams, and keeps the state of those that remain.
    pub fn set_upstreams(&mut self, now: Instant, upstreams: Vec<Upstream>) {
        let at = self.moment(now);
        self.pool.update(at, &self.settings, self.hosts, upstreams);
        self.in_flight = self.pool.in_flight();
        self.pool.apply_digests(&self.peers);
    }

    /// Sets the number of entry hosts that may be running; they share the probe budget evenly.
    ///
    /// Hosts that may only be partitioned off must be counted; otherwise the hosts on both sides of
    /// a network partition would together exceed the budget.
    pub fn set_hosts(&mut self, now: Instant, hosts: u32) {
        let at = self.moment(now);
        self.hosts = hosts.max(1);
        self.bucket.set_rate(self.settings.probe_budget_per_s / f64::from(self.hosts), at);
        if self.serial == 0 {
            self.pool.iter_mut().for_each(|it| it.limit = Limit::new(it.upstream.slots, hosts));
        }
    }

    /// Sets the probes a second that all entry hosts together may send; 0 disables probes.
    pub fn set_probe_budget(&mut self, now: Instant, budget_per_s: f64) {
        self.settings.probe_budget_per_s = budget_per_s;
        self.set_hosts(now, self.hosts);
    }

    /// Marks an upstream as leaving or clears the mark; a leaving upstream gets no new requests.
    pub fn set_leaving(&mut self, upstream: &str, leaving: bool) {
        if let Some(index) = self.pool.index_of(upstream) {
            self.pool[index].is_leaving = leaving;
        }
    }

    /// Chooses an upstream that is not among those already `tried`, and counts the attempt as in
    /// flight.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if no upstream was chosen; nothing is counted as in flight then.
    pub fn choose(&mut self, now: Instant, tried: &[UpstreamId]) -> Result<Choice> {
        let at = self.moment(now);
        let (best, runner_up) = self.rank(at, tried)?;
        let chosen = self.candidate(best);
        let runner_up = runner_up.map(|it| self.candidate(it));
        self.serial += 1;
        let attempt = Attempt { serial: self.serial, at, slowdown: best.estimate.slowdown };
        self.pool[best.index].attempts.push(attempt);
        self.in_flight += 1;
        self.subset.observe(at, self.in_flight);
        let dispatch = Dispatch { upstream: chosen.upstream.clone(), serial: self.serial, at: now };
        Ok(Choice { dispatch, chosen, runner_up, weighed: self.ranking.weighed })
    }

    /// Records the result of an attempt.
    pub fn finished(&mut self, now: Instant, dispatch: Dispatch, completion: Completion) {
        let at = self.moment(now);
        let means = self.service.means(at, &self.settings);
        let Dispatch { upstream, serial, .. } = dispatch;
        let Some(index) = self.pool.index_of(&upstream) else { return };
        let state = &mut self.pool[index];
        let Some(found) = state.attempts.iter().position(|it| it.serial == serial) else { return };
        let attempt = state.attempts.remove(found);
        self.in_flight -= 1;
        self.subset.observe(at, self.in_flight);
        let time = completion.latency.as_secs_f64() / attempt.slowdown;
        let time_constant = state::service_time_decay(&self.settings, means);
        match completion.outcome {
            Outcome::Success => {
                state.estimator.observe_complete(at, time_constant, time);
                self.service.answered(at, time);
                self.pool.succeeded(at, &self.settings, index);
            }
            Outcome::Failure | Outcome::NotSent => {
                state.estimator.observe_censored(at, time_constant, time);
                self.pool.failed(at, &self.settings, index);
            }
            Outcome::Overload => state.limit.overloaded(),
            Outcome::Cancelled => state.estimator.observe_censored(at, time_constant, time),
        }
        match completion.report {
            Some(report) => self.record_report(index, at, report),
            None if completion.outcome == Outcome::Success => {
                self.pool[index].limit.answered(time / means.service_time);
            }
            None => {}
        }
    }

    /// Records a load report that did not arrive with an answer.
    pub fn report(&mut self, now: Instant, upstream: &str, report: Report) {
        let at = self.moment(now);
        if let Some(index) = self.pool.index_of(upstream) {
            self.record_report(index, at, report);
        }
    }

    /// Returns an upstream to probe now, if a report is old enough and the budget allows it.
    ///
    /// Each upstream returned consumes a probe of the budget, whether or not the probe is sent.
    pub fn probe(&mut self, now: Instant) -> Option<UpstreamId> {
        let at = self.moment(now);
        let index = self.pool.stalest(at, &self.settings, self.subset())?;
        if !self.bucket.take(at) {
            return None;
        }
        self.probes += 1;
        let state = &mut self.pool[index];
        state.probed_at = Some(at);
        Some(state.upstream.id.clone())
    }

    /// Probes granted so far.
    #[must_use]
    pub fn probes(&self) -> u64 {
        self.probes
    }

    /// This host's requests in flight, to send to its peers.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let busy = self.pool.iter().filter(|it| it.own() > 0);
        let entry = |it: &State| Entry { upstream: it.upstream.id.clone(), in_flight: it.own() };
        Digest { entries: busy.map(entry).collect() }
    }

    /// Records the digest that a peer sent of its requests in flight.
    pub fn receive_digest(&mut self, now: Instant, host: HostId, digest: Digest) {
        let at = self.moment(now);
        let ttl = self.settings.digest_ttl.as_secs_f64();
        self.peers.insert(at, ttl, host, digest);
        self.pool.apply_digests(&self.peers);
    }

    /// Drops the digest of a peer that has left.
    pub fn remove_peer(&mut self, host: &str) {
        self.peers.remove(host);
        self.pool.apply_digests(&self.peers);
    }

    /// Requests that may be in flight to all upstreams together at `now`, including those that
    /// already are.
    #[must_use]
    pub fn capacity(&self, now: Instant) -> u32 {
        let at = self.moment(now);
        let means = self.service.means(at, &self.settings);
        let count_failures = self.pool.counts_failures(&self.settings);
        let eligible = |it: &&State| it.is_eligible(at, count_failures);
        let room = |it: &State| it.room(at, &self.settings, means);
        let own = u32::try_from(self.in_flight).unwrap_or(u32::MAX);
        let limit = self.settings.sample_size.saturating_mul(MAX_SAMPLES);
        own + self.pool.iter().take(limit).filter(eligible).map(room).sum::<u32>()
    }

    /// Mean time for which an upstream of the service processes a request, without queueing.
    #[must_use]
    pub fn service_time(&self, now: Instant) -> Duration {
        duration(self.service.means(self.moment(now), &self.settings).service_time)
    }

    /// This host's requests in flight to an upstream.
    #[must_use]
    pub fn in_flight(&self, upstream: &str) -> u32 {
        self.pool.index_of(upstream).map_or(0, |index| self.pool[index].own())
    }

    /// Changes of the subset's size so far.
    #[must_use]
    pub fn subset_changes(&self) -> u64 {
        self.subset.changes()
    }

    /// Size of the subset: the upstreams that are weighed first. The others are weighed only if
    /// none of these has room.
    #[must_use]
    pub fn subset(&self) -> usize {
        self.subset.size(self.pool.len())
    }

    /// Number of upstreams that are ejected at `now`.
    #[must_use]
    pub fn ejected(&self, now: Instant) -> usize {
        let at = self.moment(now);
        self.pool.ejected(at)
    }

    fn rank(&mut self, at: Moment, tried: &[UpstreamId]) -> Result<(Score, Option<Score>)> {
        let means = self.service.means(at, &self.settings);
        let count_failures = self.pool.counts_failures(&self.settings);
        let len = self.pool.len();
        let subset = self.subset.size(len);
        let sample = self.settings.sample_size.max(1);
        let start = if subset > sample { self.rng.usize(..subset) } else { 0 };
        self.ranking.clear();
        let mut reason = Reason::NoUpstream;
        for step in 0..len.min(sample.saturating_mul(MAX_SAMPLES)) {
            let has_enough = self.ranking.weighed as usize >= sample.min(subset);
            if has_enough && !self.ranking.is_empty() {
                break;
            }
            let index = if step < subset { (start + step) % subset } else { step };
            let state = &self.pool[index];
            if !state.is_eligible(at, count_failures) {
                continue;
            }
            if tried.contains(&state.upstream.id) {
                reason = reason.max(Reason::AllTried);
                continue;
            }
            self.ranking.weighed += 1;
            let estimate = state.estimate(at, &self.settings, means, count_failures);
            if estimate.has_room {
                self.ranking.push(Score { index, estimate });
            } else {
                reason = Reason::Full;
            }
        }
        let retry_after = duration(means.service_time * RETRY_AFTER_SERVICE_TIMES);
        let tie = 1.0 + f64::from(self.settings.tie_percent) / 100.0;
        self.ranking.pick(&mut self.rng, tie).ok_or(Refusal { reason, retry_after })
    }

    fn candidate(&self, score: Score) -> Candidate {
        let state = &self.pool[score.index];
        Candidate {
            upstream: state.upstream.id.clone(),
            expected: duration(score.estimate.expected),
            own: state.own(),
            others: score.estimate.others,
        }
    }

    fn record_report(&mut self, index: usize, at: Moment, report: Report) {
        let state = &mut self.pool[index];
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

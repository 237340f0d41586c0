//! The policies with which fireflydrum is compared.

use balance::Report;

use super::server::Server;

/// A policy, or the balancer under test.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Policy {
    /// The balancer and admission gate of the daemon.
    Fireflydrum,
    /// The upstream with the shortest expected time, by the actual queues and slowdowns.
    Oracle,
    Random,
    RoundRobin,
    /// The upstream with the fewest requests of this entry host in flight.
    LeastOwn,
    /// Of two random upstreams, the one with less work by its last report and the dispatches since.
    TwoChoices,
}

impl Policy {
    pub(crate) const ALL: [Self; 6] = [
        Self::Fireflydrum,
        Self::Oracle,
        Self::Random,
        Self::RoundRobin,
        Self::LeastOwn,
        Self::TwoChoices,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Fireflydrum => "fireflydrum",
            Self::Oracle => "oracle",
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastOwn => "least own",
            Self::TwoChoices => "two choices",
        }
    }

    pub(crate) fn is_baseline(self) -> bool {
        !matches!(self, Self::Fireflydrum | Self::Oracle)
    }
}

/// An entry host's information on an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct UpstreamState {
    in_flight: u32,
    reported_total: u32,
    dispatched_since_report: u32,
    leaving: bool,
}

/// An entry host with a policy other than fireflydrum's.
#[derive(Debug)]
pub(crate) struct Baseline {
    policy: Policy,
    domain: usize,
    rng: fastrand::Rng,
    position: usize,
    upstreams: Vec<UpstreamState>,
}

impl Baseline {
    pub(crate) fn new(policy: Policy, domain: usize, upstreams: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let position = rng.usize(..upstreams);
        Self { policy, domain, rng, position, upstreams: vec![UpstreamState::default(); upstreams] }
    }

    /// Chooses an upstream that is neither among `tried` nor leaving, or returns `None` if there is
    /// none.
    pub(crate) fn choose(
        &mut self,
        tried: &[usize],
        servers: &[Server],
        delay_s: impl Fn(usize, usize) -> f64,
    ) -> Option<usize> {
        let candidates = |it: &usize| !tried.contains(it) && !self.upstreams[*it].leaving;
        let candidates: Vec<usize> = (0..servers.len()).filter(candidates).collect();
        let first = *candidates.get(self.rng.usize(..candidates.len().max(1)))?;
        let second = candidates[self.rng.usize(..candidates.len())];
        let res = match self.policy {
            Policy::Fireflydrum | Policy::Random => first,
            Policy::RoundRobin => self.next_in_turn(&candidates),
            Policy::LeastOwn => self.cheapest(&candidates, |state, _| f64::from(state.in_flight)),
            Policy::TwoChoices => self.cheapest(&[first, second], |state, _| {
                f64::from(state.reported_total + state.dispatched_since_report)
            }),
            Policy::Oracle => {
                let domain = self.domain;
                self.cheapest(&candidates, |_, it| {
                    2.0 * delay_s(domain, servers[it].domain) + servers[it].expected_s()
                })
            }
        };
        let state = &mut self.upstreams[res];
        state.in_flight += 1;
        state.dispatched_since_report += 1;
        Some(res)
    }

    /// Records the end of an attempt, with the load report that its answer carries.
    pub(crate) fn end_attempt(&mut self, upstream: usize, report: Option<Report>) {
        let state = &mut self.upstreams[upstream];
        state.in_flight -= 1;
        if let Some(report) = report {
            state.reported_total = report.total();
            state.dispatched_since_report = 0;
        }
    }

    /// Sets whether the host list marks an upstream as leaving.
    pub(crate) fn set_leaving(&mut self, upstream: usize, leaving: bool) {
        self.upstreams[upstream].leaving = leaving;
    }

    fn next_in_turn(&mut self, candidates: &[usize]) -> usize {
        self.position += 1;
        candidates[self.position % candidates.len()]
    }

    /// Returns the upstream with the lowest cost, a random one among equals.
    fn cheapest(
        &mut self,
        candidates: &[usize],
        cost: impl Fn(&UpstreamState, usize) -> f64,
    ) -> usize {
        let start = self.rng.usize(..candidates.len());
        let rotated = (0..candidates.len()).map(|it| candidates[(start + it) % candidates.len()]);
        let costs = rotated.map(|it| (it, cost(&self.upstreams[it], it)));
        costs.min_by(|a, b| a.1.total_cmp(&b.1)).map_or(candidates[0], |it| it.0)
    }
}

//! The policies that fireflydrum is compared with.

use balance::Report;

use super::server::Server;

/// A policy, or the balancer under test.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Policy {
    /// The product's own balancer and admission gate.
    Fireflydrum,
    /// Sees every queue and slowness at the instant of choice.
    Oracle,
    Random,
    RoundRobin,
    /// Least own requests in flight.
    LeastOwn,
    /// The better of two random upstreams by last report and own dispatches since.
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

/// What an entry host knows of an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    own: u32,
    reported: u32,
    since_report: u32,
    leaving: bool,
}

/// One entry host that chooses by a policy other than fireflydrum's.
#[derive(Debug)]
pub(crate) struct Baseline {
    policy: Policy,
    domain: usize,
    rng: fastrand::Rng,
    turn: usize,
    known: Vec<Known>,
}

impl Baseline {
    pub(crate) fn new(policy: Policy, domain: usize, upstreams: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let turn = rng.usize(..upstreams);
        Self { policy, domain, rng, turn, known: vec![Known::default(); upstreams] }
    }

    /// Chooses an upstream that is not among those `tried`, if there is one.
    pub(crate) fn choose(
        &mut self,
        tried: &[usize],
        servers: &[Server],
        delay_s: impl Fn(usize, usize) -> f64,
    ) -> Option<usize> {
        let open = |it: &usize| !tried.contains(it) && !self.known[*it].leaving;
        let open: Vec<usize> = (0..servers.len()).filter(open).collect();
        let first = *open.get(self.rng.usize(..open.len().max(1)))?;
        let second = open[self.rng.usize(..open.len())];
        let res = match self.policy {
            Policy::Fireflydrum | Policy::Random => first,
            Policy::RoundRobin => self.next_turn(&open),
            Policy::LeastOwn => self.least(&open, |known, _| f64::from(known.own)),
            Policy::TwoChoices => self
                .least(&[first, second], |known, _| f64::from(known.reported + known.since_report)),
            Policy::Oracle => {
                let domain = self.domain;
                self.least(&open, |_, it| {
                    2.0 * delay_s(domain, servers[it].domain) + servers[it].expected_s()
                })
            }
        };
        let known = &mut self.known[res];
        known.own += 1;
        known.since_report += 1;
        Some(res)
    }

    /// Takes in the end of an attempt.
    pub(crate) fn finished(&mut self, upstream: usize, report: Option<Report>) {
        let known = &mut self.known[upstream];
        known.own -= 1;
        if let Some(report) = report {
            known.reported = report.total();
            known.since_report = 0;
        }
    }

    /// Takes in what the host list says.
    pub(crate) fn set_leaving(&mut self, upstream: usize, leaving: bool) {
        self.known[upstream].leaving = leaving;
    }

    fn next_turn(&mut self, open: &[usize]) -> usize {
        self.turn += 1;
        open[self.turn % open.len()]
    }

    /// The upstream of least cost; ties at random.
    fn least(&mut self, open: &[usize], cost: impl Fn(&Known, usize) -> f64) -> usize {
        let start = self.rng.usize(..open.len());
        let rotated = (0..open.len()).map(|it| open[(start + it) % open.len()]);
        let costs = rotated.map(|it| (it, cost(&self.known[it], it)));
        costs.min_by(|a, b| a.1.total_cmp(&b.1)).map_or(open[0], |it| it.0)
    }
}

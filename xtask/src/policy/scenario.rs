//! A scenario: what is simulated, and the bounds that the outcome must keep.

/// How service times are spread around their mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Spread {
    /// Every request takes the mean.
    Fixed,
    /// Exponential.
    Exponential,
    /// Log-normal with this standard deviation of the logarithm.
    LogNormal(f64),
}

/// What is wrong with an upstream during a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FaultKind {
    /// Work takes `factor` times as long.
    Slow,
    /// Like `Slow`, with a factor that falls evenly to 1.
    Cold,
    /// Requests fail at once.
    FailFast,
    /// New requests are refused; entry hosts learn of it after the host list's lag.
    Drain,
}

/// A fault of one upstream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Fault {
    pub(crate) kind: FaultKind,
    pub(crate) upstream: usize,
    pub(crate) at_s: f64,
    pub(crate) for_s: f64,
    pub(crate) factor: f64,
}

/// A time during which one rank sends a multiple of its usual load.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Flood {
    pub(crate) rank: usize,
    pub(crate) at_s: f64,
    pub(crate) for_s: f64,
    pub(crate) factor: f64,
}

/// A rank of work and its part of the load.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Rank {
    pub(crate) name: String,
    pub(crate) order: u8,
    pub(crate) floor_percent: u8,
    pub(crate) share_percent: f64,
    pub(crate) deadline_ms: f64,
}

/// Noisy neighbours, alike and independent for each upstream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Noise {
    /// Mean quiet time; 0 means that there is no noise.
    pub(crate) every_ms: f64,
    pub(crate) shortest_ms: f64,
    pub(crate) longest_ms: f64,
    pub(crate) least_factor: f64,
    pub(crate) greatest_factor: f64,
}

/// Bounds that the outcome must keep; those that are absent are not checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Bounds {
    pub(crate) p99_vs_oracle: Option<f64>,
    pub(crate) p99_vs_best_baseline: Option<f64>,
    pub(crate) urgent_in_flood: Option<f64>,
    pub(crate) floor_kept: Option<f64>,
}

/// What is simulated. Field names follow the keys in docs/SCENARIOS.md.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Scenario {
    pub(crate) name: String,
    pub(crate) duration_s: f64,
    pub(crate) warm_up_s: f64,
    pub(crate) seeds: u64,
    pub(crate) hosts: usize,
    pub(crate) load_percent: f64,
    pub(crate) callers: usize,
    pub(crate) domains: usize,
    pub(crate) same_domain_ms: f64,
    pub(crate) between_domains_ms: f64,
    pub(crate) host_list_lag_ms: f64,
    pub(crate) upstreams: usize,
    pub(crate) slots: u32,
    pub(crate) service_ms: f64,
    pub(crate) spread: Spread,
    pub(crate) report_period_ms: f64,
    pub(crate) reports_on_answers: bool,
    pub(crate) probe_budget_per_s: f64,
    pub(crate) probe_cost_ms: f64,
    pub(crate) digest_period_ms: f64,
    pub(crate) noise: Noise,
    pub(crate) ranks: Vec<Rank>,
    pub(crate) faults: Vec<Fault>,
    pub(crate) floods: Vec<Flood>,
    pub(crate) bounds: Bounds,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "unnamed".to_owned(),
            duration_s: 20.0,
            warm_up_s: 2.0,
            seeds: 3,
            hosts: 6,
            load_percent: 80.0,
            callers: 100,
            domains: 4,
            same_domain_ms: 0.1,
            between_domains_ms: 0.5,
            host_list_lag_ms: 2000.0,
            upstreams: 15,
            slots: 6,
            service_ms: 20.0,
            spread: Spread::LogNormal(0.6),
            report_period_ms: 5.0,
            reports_on_answers: true,
            probe_budget_per_s: 0.0,
            probe_cost_ms: 6.0,
            digest_period_ms: 100.0,
            noise: Noise {
                every_ms: 0.0,
                shortest_ms: 20.0,
                longest_ms: 2000.0,
                least_factor: 2.0,
                greatest_factor: 10.0,
            },
            ranks: Vec::new(),
            faults: Vec::new(),
            floods: Vec::new(),
            bounds: Bounds::default(),
        }
    }
}

impl Scenario {
    /// Requests a second of all ranks together, without floods.
    pub(crate) fn requests_per_s(&self) -> f64 {
        let slots = self.upstreams as f64 * f64::from(self.slots);
        slots / (self.service_ms / 1e3) * self.load_percent / 100.0
    }

    /// Time from one failure domain to another in seconds, one way.
    pub(crate) fn delay_s(&self, from: usize, to: usize) -> f64 {
        let delay_ms = if from == to { self.same_domain_ms } else { self.between_domains_ms };
        delay_ms / 1e3
    }

    /// Factor on the load of `rank` at `at_s` seconds.
    pub(crate) fn flood_factor(&self, rank: usize, at_s: f64) -> f64 {
        let active = |it: &&Flood| it.rank == rank && in_time(it.at_s, it.for_s, at_s);
        self.floods.iter().filter(active).map(|it| it.factor).fold(1.0, f64::max)
    }

    /// Whether any flood is on at `at_s` seconds.
    pub(crate) fn is_flooded(&self, at_s: f64) -> bool {
        self.floods.iter().any(|it| in_time(it.at_s, it.for_s, at_s))
    }

    /// The rank that is served first.
    pub(crate) fn urgent(&self) -> usize {
        let by_order = |it: &usize| self.ranks[*it].order;
        (0..self.ranks.len()).min_by_key(by_order).unwrap_or_default()
    }
}

fn in_time(start_s: f64, for_s: f64, at_s: f64) -> bool {
    at_s >= start_s && at_s < start_s + for_s
}

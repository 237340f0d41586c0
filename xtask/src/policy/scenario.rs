//! The parameters of a simulation and the bounds for its outcome.

/// Distribution of service times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Distribution {
    /// All requests take the mean service time.
    Fixed,
    Exponential,
    /// Log-normal with this standard deviation of the logarithm.
    LogNormal(f64),
}

/// Effect of a fault on an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FaultKind {
    /// Work takes `factor` times as long.
    Slow,
    /// Like `Slow`, with a factor that falls linearly to 1.
    Cold,
    /// Requests fail immediately.
    FailFast,
    /// New requests are refused. The host list shows the drain after `host_list_lag_ms`.
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

/// A period in which one rank sends a multiple of its usual load.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Flood {
    pub(crate) rank: usize,
    pub(crate) at_s: f64,
    pub(crate) for_s: f64,
    pub(crate) factor: f64,
}

/// A rank of requests and its share of the load.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Rank {
    pub(crate) name: String,
    pub(crate) order: u8,
    pub(crate) floor_percent: u8,
    pub(crate) share_percent: f64,
    pub(crate) deadline_ms: f64,
}

/// Noisy neighbours, independent for each upstream and with the same distribution.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Noise {
    /// Mean time without noise. 0 disables noise.
    pub(crate) every_ms: f64,
    pub(crate) shortest_ms: f64,
    pub(crate) longest_ms: f64,
    pub(crate) least_factor: f64,
    pub(crate) greatest_factor: f64,
}

/// Bounds for the outcome. Absent bounds are not checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Bounds {
    pub(crate) p99_vs_oracle: Option<f64>,
    pub(crate) p99_vs_best_baseline: Option<f64>,
    pub(crate) urgent_in_flood: Option<f64>,
    pub(crate) floor_kept: Option<f64>,
}

/// Parameters of a simulation. Field names follow the keys in docs/SCENARIOS.md.
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
    pub(crate) distribution: Distribution,
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
            distribution: Distribution::LogNormal(0.6),
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
    /// Requests per second of all ranks together, without floods.
    pub(crate) fn requests_per_s(&self) -> f64 {
        let slots = self.upstreams as f64 * f64::from(self.slots);
        slots / (self.service_ms / 1e3) * self.load_percent / 100.0
    }

    /// One-way latency between two failure domains, in seconds.
    pub(crate) fn delay_s(&self, from: usize, to: usize) -> f64 {
        let delay_ms = if from == to { self.same_domain_ms } else { self.between_domains_ms };
        delay_ms / 1e3
    }

    /// Factor by which floods multiply the load of `rank` at `at_s`.
    pub(crate) fn flood_factor(&self, rank: usize, at_s: f64) -> f64 {
        let applies = |it: &&Flood| it.rank == rank && is_active(it.at_s, it.for_s, at_s);
        self.floods.iter().filter(applies).map(|it| it.factor).fold(1.0, f64::max)
    }

    /// Whether any flood is active at `at_s`.
    pub(crate) fn is_flooded(&self, at_s: f64) -> bool {
        self.floods.iter().any(|it| is_active(it.at_s, it.for_s, at_s))
    }

    /// The rank with the lowest order.
    pub(crate) fn most_urgent_rank(&self) -> usize {
        let by_order = |it: &usize| self.ranks[*it].order;
        (0..self.ranks.len()).min_by_key(by_order).unwrap_or_default()
    }
}

fn is_active(start_s: f64, for_s: f64, at_s: f64) -> bool {
    at_s >= start_s && at_s < start_s + for_s
}

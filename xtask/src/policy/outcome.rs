//! Prints the outcome of a scenario, and checks it against the scenario's bounds.

use std::collections::BTreeMap;

use super::{baseline::Policy, scenario::Scenario, stats::Stats};

/// The outcome of a scenario: statistics for each policy and seed.
#[derive(Debug)]
pub(crate) struct Outcome {
    scenario: Scenario,
    stats: BTreeMap<Policy, Vec<Stats>>,
}

impl Outcome {
    pub(crate) fn new(scenario: Scenario, stats: BTreeMap<Policy, Vec<Stats>>) -> Self {
        Self { scenario, stats }
    }

    /// Prints a table of all policies and a table of fireflydrum's ranks.
    pub(crate) fn print(&self) {
        let it = &self.scenario;
        let seeds = self.stats.values().map(Vec::len).max().unwrap_or_default();
        println!(
            "\n{}: {} upstreams x {} slots, {} entry hosts, load {} %, {} s, mean of {seeds} seeds",
            it.name, it.upstreams, it.slots, it.hosts, it.load_percent, it.duration_s
        );
        println!(
            "  policy       p50 ms  p99 ms (least-most)      p99.9 ms  urgent p99  queue seen  refused  failed"
        );
        for (policy, stats) in &self.stats {
            let p99: Vec<f64> = stats.iter().map(Stats::p99_ms).collect();
            let minimum = p99.iter().copied().fold(f64::INFINITY, f64::min);
            let maximum = p99.iter().copied().fold(0.0, f64::max);
            println!(
                "  {:<12} {:6.1}  {:6.1} ({minimum:6.1}-{maximum:6.1})  {:9.1}  {:10.1}  {:10.2}  {:7}  {:6}",
                policy.name(),
                mean(stats, |it| it.percentile_ms(50.0)),
                mean(stats, Stats::p99_ms),
                mean(stats, |it| it.percentile_ms(99.9)),
                mean(stats, Stats::urgent_p99_ms),
                mean(stats, |it| it.queue_length_sum as f64 / it.dispatches.max(1) as f64),
                stats.iter().flat_map(|it| &it.ranks).map(|it| it.refused).sum::<u64>(),
                stats.iter().flat_map(|it| &it.ranks).map(|it| it.failed).sum::<u64>(),
            );
        }
        self.print_ranks();
    }

    fn print_ranks(&self) {
        println!(
            "  fireflydrum's ranks: asked, refused, failed, late; in flood: in time, floor kept"
        );
        for (index, rank) in self.scenario.ranks.iter().enumerate() {
            let sum = |count: fn(&super::stats::RankStats) -> u64| -> u64 {
                self.fireflydrum().iter().map(|it| count(&it.ranks[index])).sum()
            };
            print!(
                "  {:<12} {:8} {:8} {:6} {:6}",
                rank.name,
                sum(|it| it.requests),
                sum(|it| it.refused),
                sum(|it| it.failed),
                sum(|it| it.late)
            );
            match (self.in_time_in_flood(index), self.floor_kept(index)) {
                (Some(in_time), Some(kept)) => println!("   {in_time:.5} {kept:.3}"),
                _ => println!(),
            }
        }
    }

    /// Describes each bound that was missed.
    pub(crate) fn missed_bounds(&self) -> Vec<String> {
        let bounds = &self.scenario.bounds;
        let above = |name: &str, value: f64, maximum: Option<f64>| {
            maximum
                .filter(|it| value.is_nan() || value > *it)
                .map(|it| format!("{name}={value:.4} over {it}"))
        };
        let below = |name: &str, value: Option<f64>, minimum: Option<f64>| {
            let minimum = minimum?;
            let value = value.unwrap_or(f64::NAN);
            (value.is_nan() || value < minimum)
                .then(|| format!("{name}={value:.5} under {minimum}"))
        };
        let checks = [
            above("p99_vs_oracle", self.p99_vs_oracle(), bounds.p99_vs_oracle),
            above("p99_vs_best_baseline", self.p99_vs_best_baseline(), bounds.p99_vs_best_baseline),
            below("urgent_in_flood", self.urgent_in_flood(), bounds.urgent_in_flood),
            below("floor_kept", self.least_floor_kept(), bounds.floor_kept),
            above("probe_over_budget", self.probe_over_budget(), Some(0.0)),
        ];
        checks.into_iter().flatten().map(|it| format!("{}: {it}", self.scenario.name)).collect()
    }

    fn p99_vs_oracle(&self) -> f64 {
        self.p99_ms(Policy::Fireflydrum) / self.p99_ms(Policy::Oracle)
    }

    fn p99_vs_best_baseline(&self) -> f64 {
        let baselines = Policy::ALL.into_iter().filter(|it| it.is_baseline());
        let best = baselines.map(|it| self.p99_ms(it)).fold(f64::INFINITY, f64::min);
        self.p99_ms(Policy::Fireflydrum) / best
    }

    fn p99_ms(&self, policy: Policy) -> f64 {
        mean(&self.stats[&policy], Stats::p99_ms)
    }

    /// Share of the most urgent rank's requests during floods that were answered before their
    /// deadline.
    fn urgent_in_flood(&self) -> Option<f64> {
        self.in_time_in_flood(self.scenario.most_urgent_rank())
    }

    fn in_time_in_flood(&self, rank: usize) -> Option<f64> {
        let ranks = || self.fireflydrum().iter().map(|it| &it.ranks[rank]);
        let requests: u64 = ranks().map(|it| it.requests_in_flood).sum();
        let in_time: u64 = ranks().map(|it| it.in_time_in_flood).sum();
        (requests > 0).then(|| in_time as f64 / requests as f64)
    }

    /// Lowest [`Self::floor_kept`] among the ranks that did not flood.
    fn least_floor_kept(&self) -> Option<f64> {
        let flooding = |it: &usize| self.scenario.floods.iter().any(|flood| flood.rank == *it);
        let ranks = (0..self.scenario.ranks.len()).filter(|it| !flooding(it));
        ranks.filter_map(|it| self.floor_kept(it)).reduce(f64::min)
    }

    /// Share of its floor, or of its load if that is lower, that a rank got during floods in the
    /// worst seed.
    fn floor_kept(&self, rank: usize) -> Option<f64> {
        let it = &self.scenario;
        let slots = it.upstreams as f64 * f64::from(it.slots);
        let floor = f64::from(it.ranks[rank].floor_percent) / 100.0 * slots;
        let demand = it.ranks[rank].share_percent / 100.0 * it.load_percent / 100.0 * slots;
        let flooded_s: f64 = it.floods.iter().map(|it| it.for_s).sum();
        let expected_s = floor.min(demand) * flooded_s;
        let kept =
            self.fireflydrum().iter().map(|it| it.ranks[rank].slot_time_in_flood_s / expected_s);
        if expected_s > 0.0 { kept.reduce(f64::min) } else { None }
    }

    fn probe_over_budget(&self) -> f64 {
        self.fireflydrum().iter().map(|it| it.probes_over_budget).fold(0.0, f64::max)
    }

    fn fireflydrum(&self) -> &[Stats] {
        &self.stats[&Policy::Fireflydrum]
    }
}

/// The line `RESULT ...`, the last one of the output.
pub(crate) fn result_line(outcomes: &[Outcome]) -> String {
    let mut fields = Vec::new();
    for it in outcomes.iter().filter(|it| it.scenario.floods.is_empty()) {
        let name = &it.scenario.name;
        fields.push(format!("{name}_p99_vs_oracle={:.3}", it.p99_vs_oracle()));
        fields.push(format!("{name}_p99_vs_best_baseline={:.3}", it.p99_vs_best_baseline()));
    }
    let minimum =
        |value: fn(&Outcome) -> Option<f64>| outcomes.iter().filter_map(value).reduce(f64::min);
    let bounded_urgent_in_flood =
        |it: &Outcome| it.scenario.bounds.urgent_in_flood.and_then(|_| it.urgent_in_flood());
    if let Some(it) = minimum(bounded_urgent_in_flood) {
        fields.push(format!("urgent_in_flood={it:.5}"));
    }
    if let Some(it) = minimum(Outcome::least_floor_kept) {
        fields.push(format!("floor_kept={it:.3}"));
    }
    let max_excess = outcomes.iter().map(Outcome::probe_over_budget).fold(0.0, f64::max);
    fields.push(format!("probe_over_budget={max_excess}"));
    format!("RESULT {}", fields.join(" "))
}

fn mean(stats: &[Stats], value: impl Fn(&Stats) -> f64) -> f64 {
    stats.iter().map(value).sum::<f64>() / stats.len() as f64
}

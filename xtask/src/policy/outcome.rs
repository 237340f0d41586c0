//! The outcome of a scenario: tables, the bounds that were missed and the result line.

use std::collections::BTreeMap;

use super::{baseline::Policy, scenario::Scenario, tally::Tally};

/// The outcome of a scenario, one tally for each policy and seed.
#[derive(Debug)]
pub(crate) struct Outcome {
    scenario: Scenario,
    tallies: BTreeMap<Policy, Vec<Tally>>,
}

impl Outcome {
    pub(crate) fn new(scenario: Scenario, tallies: BTreeMap<Policy, Vec<Tally>>) -> Self {
        Self { scenario, tallies }
    }

    /// Prints a table of all policies and one of the product's ranks.
    pub(crate) fn print(&self) {
        let it = &self.scenario;
        let seeds = self.tallies.values().map(Vec::len).max().unwrap_or_default();
        println!(
            "\n{}: {} upstreams x {} slots, {} entry hosts, load {} %, {} s, mean of {seeds} seeds",
            it.name, it.upstreams, it.slots, it.hosts, it.load_percent, it.duration_s
        );
        println!(
            "  policy       p50 ms  p99 ms (least-most)      p99.9 ms  urgent p99  queue seen  refused  failed"
        );
        for (policy, tallies) in &self.tallies {
            let p99: Vec<f64> = tallies.iter().map(Tally::p99_ms).collect();
            let least = p99.iter().copied().fold(f64::INFINITY, f64::min);
            let most = p99.iter().copied().fold(0.0, f64::max);
            println!(
                "  {:<12} {:6.1}  {:6.1} ({least:6.1}-{most:6.1})  {:9.1}  {:10.1}  {:10.2}  {:7}  {:6}",
                policy.name(),
                mean(tallies, |it| it.percentile_ms(50.0)),
                mean(tallies, Tally::p99_ms),
                mean(tallies, |it| it.percentile_ms(99.9)),
                mean(tallies, Tally::urgent_p99_ms),
                mean(tallies, |it| it.queue_seen as f64 / it.dispatches.max(1) as f64),
                tallies.iter().flat_map(|it| &it.ranks).map(|it| it.refused).sum::<u64>(),
                tallies.iter().flat_map(|it| &it.ranks).map(|it| it.failed).sum::<u64>(),
            );
        }
        self.print_ranks();
    }

    fn print_ranks(&self) {
        println!(
            "  fireflydrum's ranks: asked, refused, failed, late; in flood: in time, floor kept"
        );
        for (index, rank) in self.scenario.ranks.iter().enumerate() {
            let sum = |count: fn(&super::tally::RankTally) -> u64| -> u64 {
                self.product().iter().map(|it| count(&it.ranks[index])).sum()
            };
            print!(
                "  {:<12} {:8} {:8} {:6} {:6}",
                rank.name,
                sum(|it| it.asked),
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

    /// The bounds that were missed.
    pub(crate) fn misses(&self) -> Vec<String> {
        let bounds = &self.scenario.bounds;
        let over = |name: &str, value: f64, most: Option<f64>| {
            most.filter(|it| value.is_nan() || value > *it)
                .map(|it| format!("{name}={value:.4} over {it}"))
        };
        let under = |name: &str, value: Option<f64>, least: Option<f64>| {
            let least = least?;
            let value = value.unwrap_or(f64::NAN);
            (value.is_nan() || value < least).then(|| format!("{name}={value:.5} under {least}"))
        };
        let found = [
            over("p99_vs_oracle", self.p99_vs_oracle(), bounds.p99_vs_oracle),
            over("p99_vs_best_baseline", self.p99_vs_best_baseline(), bounds.p99_vs_best_baseline),
            under("urgent_in_flood", self.urgent_in_flood(), bounds.urgent_in_flood),
            under("floor_kept", self.least_floor_kept(), bounds.floor_kept),
            over("probe_over_budget", self.probe_over_budget(), Some(0.0)),
        ];
        found.into_iter().flatten().map(|it| format!("{}: {it}", self.scenario.name)).collect()
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
        mean(&self.tallies[&policy], Tally::p99_ms)
    }

    /// Share of the most urgent requests of floods that were answered in time.
    fn urgent_in_flood(&self) -> Option<f64> {
        self.in_time_in_flood(self.scenario.urgent())
    }

    fn in_time_in_flood(&self, rank: usize) -> Option<f64> {
        let ranks = || self.product().iter().map(|it| &it.ranks[rank]);
        let asked: u64 = ranks().map(|it| it.asked_in_flood).sum();
        let in_time: u64 = ranks().map(|it| it.in_time_in_flood).sum();
        (asked > 0).then(|| in_time as f64 / asked as f64)
    }

    /// Least part of its floor that a rank had, of those that did not flood; the worst seed counts.
    fn least_floor_kept(&self) -> Option<f64> {
        let flooding = |it: &usize| self.scenario.floods.iter().any(|flood| flood.rank == *it);
        let ranks = (0..self.scenario.ranks.len()).filter(|it| !flooding(it));
        ranks.filter_map(|it| self.floor_kept(it)).reduce(f64::min)
    }

    /// Part of its floor, or of what it asked for if that is less, that a rank had in floods.
    fn floor_kept(&self, rank: usize) -> Option<f64> {
        let it = &self.scenario;
        let slots = it.upstreams as f64 * f64::from(it.slots);
        let floor = f64::from(it.ranks[rank].floor_percent) / 100.0 * slots;
        let asked = it.ranks[rank].share_percent / 100.0 * it.load_percent / 100.0 * slots;
        let flooded_s: f64 = it.floods.iter().map(|it| it.for_s).sum();
        let due_s = floor.min(asked) * flooded_s;
        let kept = self.product().iter().map(|it| it.ranks[rank].slot_time_in_flood_s / due_s);
        if due_s > 0.0 { kept.reduce(f64::min) } else { None }
    }

    fn probe_over_budget(&self) -> f64 {
        self.product().iter().map(|it| it.probes_over_budget).fold(0.0, f64::max)
    }

    fn product(&self) -> &[Tally] {
        &self.tallies[&Policy::Fireflydrum]
    }
}

/// The last line of the output.
pub(crate) fn result_line(outcomes: &[Outcome]) -> String {
    let mut fields = Vec::new();
    for it in outcomes.iter().filter(|it| it.scenario.floods.is_empty()) {
        let name = &it.scenario.name;
        fields.push(format!("{name}_p99_vs_oracle={:.3}", it.p99_vs_oracle()));
        fields.push(format!("{name}_p99_vs_best_baseline={:.3}", it.p99_vs_best_baseline()));
    }
    let least =
        |value: fn(&Outcome) -> Option<f64>| outcomes.iter().filter_map(value).reduce(f64::min);
    let judged =
        |it: &Outcome| it.scenario.bounds.urgent_in_flood.and_then(|_| it.urgent_in_flood());
    if let Some(it) = least(judged) {
        fields.push(format!("urgent_in_flood={it:.5}"));
    }
    if let Some(it) = least(Outcome::least_floor_kept) {
        fields.push(format!("floor_kept={it:.3}"));
    }
    let over = outcomes.iter().map(Outcome::probe_over_budget).fold(0.0, f64::max);
    fields.push(format!("probe_over_budget={over}"));
    format!("RESULT {}", fields.join(" "))
}

fn mean(tallies: &[Tally], value: impl Fn(&Tally) -> f64) -> f64 {
    tallies.iter().map(value).sum::<f64>() / tallies.len() as f64
}

//! Statistics of a simulation.

use hdrhistogram::Histogram;

use super::scenario::Scenario;

/// Precision of latencies.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Highest latency that the histograms distinguish, in microseconds.
const MAX_LATENCY_US: u64 = 1_000_000_000;

/// Statistics of one rank.
#[derive(Clone, Debug)]
pub(crate) struct RankStats {
    pub(crate) requests: u64,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
    pub(crate) late: u64,
    pub(crate) requests_in_flood: u64,
    /// Requests during a flood that were answered before their deadline.
    pub(crate) in_time_in_flood: u64,
    /// Time for which requests held slots of upstreams during floods, in seconds.
    pub(crate) slot_time_in_flood_s: f64,
}

/// Statistics of a simulation after the warm-up.
#[derive(Clone, Debug)]
pub(crate) struct Stats {
    /// Latency at the entry host in microseconds. A refused or failed request counts with at least
    /// its rank's deadline.
    pub(crate) latency_us: Histogram<u64>,
    /// Like `latency_us`, for the most urgent rank only.
    pub(crate) urgent_latency_us: Histogram<u64>,
    pub(crate) ranks: Vec<RankStats>,
    pub(crate) probes: u64,
    /// Largest excess of the number of probes over the budget, at any time of the run.
    pub(crate) probes_over_budget: f64,
    /// Sum over all dispatches of the chosen upstream's queue length, which a policy should keep low.
    pub(crate) queue_length_sum: u64,
    pub(crate) dispatches: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    Answered,
    Refused,
    Failed,
}

impl Stats {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let rank = RankStats {
            requests: 0,
            refused: 0,
            failed: 0,
            late: 0,
            requests_in_flood: 0,
            in_time_in_flood: 0,
            slot_time_in_flood_s: 0.0,
        };
        let latency_us = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("bounds and precision are valid");
        Self {
            latency_us: latency_us.clone(),
            urgent_latency_us: latency_us,
            ranks: vec![rank; scenario.ranks.len()],
            probes: 0,
            probes_over_budget: 0.0,
            queue_length_sum: 0,
            dispatches: 0,
        }
    }

    /// Records the end of a request that arrived at `arrived_s`.
    pub(crate) fn record_end(
        &mut self,
        scenario: &Scenario,
        rank: usize,
        arrived_s: f64,
        now_s: f64,
        end: End,
    ) {
        if arrived_s < scenario.warm_up_s {
            return;
        }
        let deadline_s = scenario.ranks[rank].deadline_ms / 1e3;
        let elapsed_s = now_s - arrived_s;
        let rank_stats = &mut self.ranks[rank];
        let in_time = end == End::Answered && elapsed_s <= deadline_s;
        let in_flood = scenario.is_flooded(arrived_s);
        rank_stats.requests += 1;
        rank_stats.refused += u64::from(end == End::Refused);
        rank_stats.failed += u64::from(end == End::Failed);
        rank_stats.late += u64::from(end == End::Answered && !in_time);
        rank_stats.requests_in_flood += u64::from(in_flood);
        rank_stats.in_time_in_flood += u64::from(in_flood && in_time);
        let latency_s = if end == End::Answered { elapsed_s } else { elapsed_s.max(deadline_s) };
        self.latency_us.saturating_record(micros(latency_s));
        if rank == scenario.most_urgent_rank() {
            self.urgent_latency_us.saturating_record(micros(latency_s));
        }
    }

    /// Records that a request of `rank` held a slot from `start_s` to `end_s`.
    pub(crate) fn record_slot_time(
        &mut self,
        scenario: &Scenario,
        rank: usize,
        start_s: f64,
        end_s: f64,
    ) {
        let overlap =
            |it: &super::scenario::Flood| end_s.min(it.at_s + it.for_s) - start_s.max(it.at_s);
        let time_s: f64 = scenario.floods.iter().map(overlap).map(|it| it.max(0.0)).sum();
        self.ranks[rank].slot_time_in_flood_s += time_s;
    }

    /// Records a probe. The budget accrues from the start of the run.
    pub(crate) fn record_probe(&mut self, scenario: &Scenario, now_s: f64) {
        self.probes += 1;
        let excess = self.probes as f64 - scenario.probe_budget_per_s * now_s;
        self.probes_over_budget = self.probes_over_budget.max(excess);
    }

    /// 99th percentile of the latency in milliseconds.
    pub(crate) fn p99_ms(&self) -> f64 {
        self.percentile_ms(99.0)
    }

    /// 99th percentile of the most urgent rank's latency in milliseconds.
    pub(crate) fn urgent_p99_ms(&self) -> f64 {
        self.urgent_latency_us.value_at_percentile(99.0) as f64 / 1e3
    }

    pub(crate) fn percentile_ms(&self, percent: f64) -> f64 {
        self.latency_us.value_at_percentile(percent) as f64 / 1e3
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "cut to the range")]
fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).clamp(0.0, 1e15) as u64
}

//! What a run counted.

use hdrhistogram::Histogram;

use super::scenario::Scenario;

/// Precision of latencies, in significant digits.
const DIGITS: u8 = 3;
/// Longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 1_000_000_000;

/// What became of the requests of one rank.
#[derive(Clone, Debug)]
pub(crate) struct RankTally {
    pub(crate) asked: u64,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
    pub(crate) late: u64,
    /// Requests during a flood, and those of them that were answered in time.
    pub(crate) asked_in_flood: u64,
    pub(crate) in_time_in_flood: u64,
    /// Time in the upstreams' slots during a flood, in seconds.
    pub(crate) slot_time_in_flood_s: f64,
}

/// What a run counted after the warm-up.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    /// Latency of answers at the entry host in microseconds; a refusal or failure counts as the
    /// rank's deadline.
    pub(crate) latency_us: Histogram<u64>,
    /// The same for the most urgent rank alone.
    pub(crate) urgent_latency_us: Histogram<u64>,
    pub(crate) ranks: Vec<RankTally>,
    pub(crate) probes: u64,
    /// Largest excess of the probes sent so far over what the budget allowed until then.
    pub(crate) probes_over_budget: f64,
    /// Sum of the upstreams' queues over all dispatches, which the policies are to keep short.
    pub(crate) queue_seen: u64,
    pub(crate) dispatches: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    Answered,
    Refused,
    Failed,
}

impl Tally {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let rank = RankTally {
            asked: 0,
            refused: 0,
            failed: 0,
            late: 0,
            asked_in_flood: 0,
            in_time_in_flood: 0,
            slot_time_in_flood_s: 0.0,
        };
        let latency_us =
            Histogram::new_with_max(LONGEST_US, DIGITS).expect("bounds and precision are valid");
        Self {
            latency_us: latency_us.clone(),
            urgent_latency_us: latency_us,
            ranks: vec![rank; scenario.ranks.len()],
            probes: 0,
            probes_over_budget: 0.0,
            queue_seen: 0,
            dispatches: 0,
        }
    }

    /// Takes in the end of a request that came at `asked_s`.
    pub(crate) fn ended(
        &mut self,
        scenario: &Scenario,
        rank: usize,
        asked_s: f64,
        now_s: f64,
        end: End,
    ) {
        if asked_s < scenario.warm_up_s {
            return;
        }
        let deadline_s = scenario.ranks[rank].deadline_ms / 1e3;
        let taken_s = now_s - asked_s;
        let counts = &mut self.ranks[rank];
        let in_time = end == End::Answered && taken_s <= deadline_s;
        let in_flood = scenario.is_flooded(asked_s);
        counts.asked += 1;
        counts.refused += u64::from(end == End::Refused);
        counts.failed += u64::from(end == End::Failed);
        counts.late += u64::from(end == End::Answered && !in_time);
        counts.asked_in_flood += u64::from(in_flood);
        counts.in_time_in_flood += u64::from(in_flood && in_time);
        let latency_s = if end == End::Answered { taken_s } else { taken_s.max(deadline_s) };
        self.latency_us.saturating_record(micros(latency_s));
        if rank == scenario.urgent() {
            self.urgent_latency_us.saturating_record(micros(latency_s));
        }
    }

    /// Takes in that a request of `rank` held a slot from `start_s` to `end_s`.
    pub(crate) fn held_slot(&mut self, scenario: &Scenario, rank: usize, start_s: f64, end_s: f64) {
        let overlap =
            |it: &super::scenario::Flood| end_s.min(it.at_s + it.for_s) - start_s.max(it.at_s);
        let time: f64 = scenario.floods.iter().map(overlap).map(|it| it.max(0.0)).sum();
        self.ranks[rank].slot_time_in_flood_s += time;
    }

    /// Takes in a probe; the whole budget counts from the start of the run.
    pub(crate) fn probed(&mut self, scenario: &Scenario, now_s: f64) {
        self.probes += 1;
        let over = self.probes as f64 - scenario.probe_budget_per_s * now_s;
        self.probes_over_budget = self.probes_over_budget.max(over);
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

//! What became of the callers' requests.

use std::collections::BTreeMap;

/// Worth of an answer after the target.
const LATE_WORTH: f64 = 0.1;

/// What became of some requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Score {
    /// Requests, each counted once however often its caller tried.
    pub requests: u32,
    /// Answered within the target.
    pub in_time: u32,
    /// Answered between target and deadline.
    pub late: u32,
    /// Never answered.
    pub failed: u32,
    /// Refusals after a wait of more than an eighth of the target.
    pub held: u32,
    /// Longest wait before a refusal, in milliseconds.
    pub longest_held_ms: u32,
}

impl Score {
    /// Share of the requests that were answered.
    pub fn served_share(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.requests.max(1))
    }

    /// Worth earned, as a share of the worth if all were answered within the target.
    pub fn worth_share(&self) -> f64 {
        let worth = f64::from(self.in_time) + LATE_WORTH * f64::from(self.late);
        worth / f64::from(self.requests.max(1))
    }
}

/// Results by kind and by tenant.
#[derive(Clone, Debug, Default)]
pub struct Scores {
    /// All requests.
    pub total: Score,
    /// By route.
    pub kinds: BTreeMap<&'static str, Score>,
    /// By tenant.
    pub tenants: BTreeMap<&'static str, Score>,
}

impl Scores {
    /// Applies `change` to the results that a request counts for.
    pub fn update(
        &mut self,
        kind: &'static str,
        tenant: Option<&'static str>,
        change: impl Fn(&mut Score),
    ) {
        change(&mut self.total);
        change(self.kinds.entry(kind).or_default());
        if let Some(it) = tenant {
            change(self.tenants.entry(it).or_default());
        }
    }
}

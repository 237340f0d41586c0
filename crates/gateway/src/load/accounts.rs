//! Recent service by route or tenant.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use super::account::{
    Account, DEMAND_PERIOD, MIN_REQUESTS, SERVICE_PERIOD, USE_PERIOD, USUAL_PERIOD,
};

/// Maximum number of accounts; further names share one.
const MAX_ACCOUNTS: usize = 2_048;
/// Usual demand, in seconds of work, below which an account is dropped when space is needed.
const IDLE_WORK_S: f64 = 0.01;

/// Recent service by name, in bounded memory.
#[derive(Debug)]
pub(super) struct Accounts {
    by_name: HashMap<Arc<str>, Account>,
    /// Account of the names that found no space.
    others: Account,
    total: Account,
}

impl Accounts {
    /// Creates accounts without any service.
    pub(super) fn new(now: Instant) -> Self {
        let empty = Account::new(now);
        Self { by_name: HashMap::new(), others: empty, total: empty }
    }

    /// Records the work of a request that has arrived; `is_usual` says whether there was no overload.
    pub(super) fn arrive(&mut self, now: Instant, name: &Arc<str>, work: Duration, is_usual: bool) {
        let work_s = work.as_secs_f64();
        let account = self.account(now, name);
        account.demand_s.add(now, DEMAND_PERIOD, work_s);
        if is_usual {
            account.usual_s.add(now, USUAL_PERIOD, work_s);
            self.total.usual_s.add(now, USUAL_PERIOD, work_s);
        }
    }

    /// Work per second that arrives for a name.
    pub(super) fn demand(&self, now: Instant, name: &str) -> f64 {
        self.get(name).demand_s.get(now, DEMAND_PERIOD) / DEMAND_PERIOD.as_secs_f64()
    }

    /// Records that a request was sent or refused.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        name: &Arc<str>,
        is_served: bool,
        work: Duration,
    ) {
        let work_s = work.as_secs_f64();
        self.account(now, name).settle(now, is_served, work_s);
        self.total.settle(now, is_served, work_s);
    }

    /// Whether requests of a name are sent less often than `floor` times the share of all that are
    /// sent.
    pub(super) fn is_starved(&self, now: Instant, name: &str, floor: f64) -> bool {
        let share = self.get(name).served_share(now);
        let total = self.total.served_share(now);
        share.zip(total).is_some_and(|(share, total)| share < total * floor)
    }

    /// Whether a name has recently used more than `tolerance` times its share of the slots. Shares
    /// follow the usual demand; a name without one counts as half an equal share.
    pub(super) fn is_over_share(&self, now: Instant, name: &str, tolerance: f64) -> bool {
        let account = self.get(name);
        let used = account.used_s.get(now, USE_PERIOD);
        let total = self.total.used_s.get(now, USE_PERIOD);
        let usual = account.usual_s.get(now, USUAL_PERIOD);
        let total_usual = self.total.usual_s.get(now, USUAL_PERIOD);
        let equal = 1.0 / self.by_name.len().max(1) as f64;
        let share = if total_usual > 0.0 { (usual / total_usual).max(equal / 2.0) } else { equal };
        used > share * total * tolerance
    }

    fn get(&self, name: &str) -> &Account {
        self.by_name.get(name).unwrap_or(&self.others)
    }

    fn account(&mut self, now: Instant, name: &Arc<str>) -> &mut Account {
        if self.by_name.len() >= MAX_ACCOUNTS && !self.by_name.contains_key(name) {
            self.by_name.retain(|_, it| {
                it.usual_s.get(now, USUAL_PERIOD) >= IDLE_WORK_S
                    || it.settled.get(now, SERVICE_PERIOD) >= MIN_REQUESTS
            });
            if self.by_name.len() >= MAX_ACCOUNTS {
                return &mut self.others;
            }
        }
        self.by_name.entry(Arc::clone(name)).or_insert_with(|| Account::new(now))
    }
}

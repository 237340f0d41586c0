//! Recent service by route or tenant.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use super::decayed::Decayed;

/// Time over which served and refused requests lose their weight.
const SERVICE_PERIOD: Duration = Duration::from_secs(4);
/// Time over which work that was given slots loses its weight.
const USE_PERIOD: Duration = Duration::from_secs(2);
/// Time over which usual demand loses its weight.
const USUAL_PERIOD: Duration = Duration::from_mins(1);
/// Weight of recent requests below which an account is not judged.
const MIN_REQUESTS: f64 = 3.0;
/// Maximum number of accounts; further names share one.
const MAX_ACCOUNTS: usize = 2_048;
/// Usual demand, in seconds of work, below which an account is dropped when space is needed.
const IDLE_WORK_S: f64 = 0.01;

/// Recent service of one name.
#[derive(Clone, Copy, Debug)]
struct Account {
    served: Decayed,
    settled: Decayed,
    used_s: Decayed,
    usual_s: Decayed,
}

impl Account {
    fn new(now: Instant) -> Self {
        let empty = Decayed::new(now);
        Self { served: empty, settled: empty, used_s: empty, usual_s: empty }
    }

    fn settle(&mut self, now: Instant, is_served: bool, work_s: f64) {
        self.settled.add(now, SERVICE_PERIOD, 1.0);
        if is_served {
            self.served.add(now, SERVICE_PERIOD, 1.0);
            self.used_s.add(now, USE_PERIOD, work_s);
        }
    }

    /// Share of the recent requests that were served, if there were enough of them.
    fn served_share(&self, now: Instant) -> Option<f64> {
        let settled = self.settled.get(now, SERVICE_PERIOD);
        (settled >= MIN_REQUESTS).then(|| self.served.get(now, SERVICE_PERIOD) / settled)
    }
}

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

    /// Records the work of a request that arrived while there was no overload.
    pub(super) fn record_usual(&mut self, now: Instant, name: &Arc<str>, work: Duration) {
        let work_s = work.as_secs_f64();
        self.account(now, name).usual_s.add(now, USUAL_PERIOD, work_s);
        self.total.usual_s.add(now, USUAL_PERIOD, work_s);
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

//! Attempts beyond the first stay within the budget in each sliding window, summed over daemons
//! that start, stop and are partitioned.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use gateway::{
    load::{Budget, slack_share},
    peer::Sharers,
};
use quickcheck::quickcheck;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 56.0;
const STEP: Duration = Duration::from_millis(20);

/// Attempts and requests of all daemons together.
#[derive(Default)]
struct Totals {
    requests: VecDeque<Instant>,
    extra: VecDeque<Instant>,
}

impl Totals {
    fn check(&mut self, now: Instant) {
        let is_old = |at: &Instant| now.duration_since(*at) >= WINDOW;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.extra.front().is_some_and(is_old) {
            self.extra.pop_front();
        }
        let allowed = self.requests.len() as f64 * RATIO + SLACK;
        assert!(self.extra.len() as f64 <= allowed, "{} of {allowed}", self.extra.len());
    }
}

quickcheck! {
    fn bound_in_every_window(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let start = Instant::now();
        let daemons = rng.usize(1..7);
        let new = |now| Budget::new(now, WINDOW, RATIO, SLACK / daemons as f64);
        let mut budgets: Vec<_> = (0..daemons).map(|_| new(start)).collect();
        let mut totals = Totals::default();
        for step in 0..2_000_u32 {
            let now = start + STEP * step;
            for it in &mut budgets {
                let is_burst = rng.u32(..1_000) < 5;
                for _ in 0..if is_burst { rng.u32(..100) } else { rng.u32(..3) } {
                    it.record_request(now);
                    totals.requests.push_back(now);
                    let is_taken = if rng.bool() { it.try_retry(now) } else { it.try_hedge(now) };
                    if is_taken {
                        totals.extra.push_back(now);
                    }
                }
                if rng.u32(..500) == 0 {
                    *it = new(now);
                }
            }
            totals.check(now);
        }
        true
    }
}

/// A restarted daemon must not spend again what its previous incarnation may have spent.
#[test]
fn new_daemon_without_slack() {
    let now = Instant::now();
    let mut budget = Budget::new(now, WINDOW, RATIO, SLACK);
    assert!(!budget.try_retry(now));
    assert!(budget.try_retry(now + WINDOW));
}

/// A window that was set longer must not give out again what was spent before the shorter one.
#[test]
fn longer_window() {
    let now = Instant::now();
    let mut budget = Budget::new(now, WINDOW / 2, RATIO, SLACK);
    let spent_at = |budget: &mut Budget, now| (0..1_000).filter(|_| budget.try_retry(now)).count();
    let spent_before = spent_at(&mut budget, now + WINDOW / 2);
    assert!(spent_before > 0);
    let later = now + WINDOW + Duration::from_millis(1);
    budget.set(later, WINDOW, RATIO, SLACK);
    assert_eq!(spent_at(&mut budget, later), 0);
    assert_eq!(spent_at(&mut budget, later + WINDOW), spent_before);
}

/// Hedges must not use up the budget that retries need.
#[test]
fn hedges_leave_retries() {
    let now = Instant::now();
    let mut budget = Budget::new(now, WINDOW, RATIO, 0.0);
    (0..100).for_each(|_| budget.record_request(now));
    let hedges = (0..100).filter(|_| budget.try_hedge(now)).count();
    let retries = (0..100).filter(|_| budget.try_retry(now)).count();
    assert!(hedges >= 10 && retries >= 3, "{hedges} hedges, {retries} retries");
    assert!(hedges + retries <= 20);
}

/// Time until a daemon learns that callers use another.
const ACTIVITY_DELAY: Duration = Duration::from_secs(1);

/// A daemon that callers use at some times and not at others.
struct Daemon {
    budget: Budget,
    active_since: Option<Instant>,
    last_active: Option<Instant>,
}

/// Callers move between the hosts of a large fleet while every request fails. Active daemons get
/// most of the allowance, and the parts never exceed the whole.
#[test]
fn callers_change_daemons() {
    const DAEMONS: usize = 40;
    let mut rng = fastrand::Rng::with_seed(5);
    let start = Instant::now();
    let daemon = |_| Daemon {
        budget: Budget::new(start, WINDOW, 0.0, 0.0),
        active_since: None,
        last_active: None,
    };
    let mut daemons: Vec<_> = (0..DAEMONS).map(daemon).collect();
    let mut spent = VecDeque::new();
    let mut max_spent = 0;
    for step in 0..6_000_u32 {
        let now = start + STEP * step;
        for number in 0..DAEMONS {
            if rng.u32(..1_500) == 0 {
                let it = &mut daemons[number];
                it.active_since = if it.active_since.is_none() { Some(now) } else { None };
            }
            let counts_as_active = |(other, it): &(usize, &Daemon)| {
                *other != number
                    && (it.active_since.is_some_and(|it| now.duration_since(it) >= ACTIVITY_DELAY)
                        || it.last_active.is_some_and(|it| now.duration_since(it) < WINDOW))
            };
            let active = daemons.iter().enumerate().filter(counts_as_active).count();
            let peers = Sharers { all: 39, active: u32::try_from(active).unwrap() };
            let it = &mut daemons[number];
            let is_active = it.active_since.is_some();
            it.last_active = if is_active { Some(now) } else { it.last_active };
            let is_known_active = it
                .active_since
                .is_some_and(|it| now.duration_since(it) >= WINDOW + ACTIVITY_DELAY * 2);
            it.budget.set(now, WINDOW, 0.0, SLACK * slack_share(peers, is_known_active));
            while is_active && it.budget.try_retry(now) {
                spent.push_back(now);
            }
        }
        while spent.front().is_some_and(|it| now.duration_since(*it) >= WINDOW) {
            spent.pop_front();
        }
        max_spent = max_spent.max(spent.len());
        assert!(spent.len() as f64 <= SLACK, "{} of {SLACK}", spent.len());
    }
    assert!(
        max_spent as f64 > SLACK / 4.0,
        "too little of the allowance is used: at most {max_spent} of {SLACK}"
    );
}

//! Upstreams in the own failure domain are preferred, but not at the price of waiting.

mod common;

use std::time::Instant;

use balance::{Outcome, Report, Settings};
use common::{USUAL, balancer, index, one_by_one};

#[test]
fn idle_home_wins() {
    let mut now = Instant::now();
    let mut it = balancer(Settings::default(), 6, 6, now);
    let chosen = one_by_one(&mut it, &mut now, 600, 6, |_| (Outcome::Success, USUAL));
    let home: usize = chosen.iter().step_by(2).sum();
    assert!(home > 570, "{chosen:?}");
}

#[test]
fn yields_under_load() {
    let now = Instant::now();
    let mut it = balancer(Settings::default(), 4, 6, now);
    for home in ["u0", "u2"] {
        it.report(now, home, Report { occupied: 6, queued: 2 });
    }
    for away in ["u1", "u3"] {
        it.report(now, away, Report::default());
    }
    let choice = it.choose(now, &[]).expect("room");
    assert_eq!(index(&choice) % 2, 1);
}

//! The soak reports windows with more repeated attempts than the retry budget allows.

use std::time::{Duration, Instant};

use soak::retry_budget;

fn check(requests: u32, repeats: u32, spread: Duration, is_within: bool) {
    let start = Instant::now();
    let at = |it: u32, count: u32| start + spread * it / count.max(1);
    let sent: Vec<_> = (0..requests).map(|it| at(it, requests)).collect();
    let first = sent.iter().enumerate().map(|(it, at)| (it.to_string(), *at));
    let again = (0..repeats).map(|it| (it.to_string(), at(it, repeats) + spread / 100));
    let arrived: Vec<_> = first.chain(again).collect();
    let res = retry_budget::check(&sent, &arrived);
    assert_eq!(res.is_none(), is_within, "{requests} requests, {repeats} repeats: {res:?}");
}

#[test]
fn single_window() {
    check(500, 140, Duration::from_secs(8), true);
    check(500, 170, Duration::from_secs(8), false);
}

#[test]
fn sliding_windows() {
    check(1_500, 420, Duration::from_secs(30), true);
    check(1_500, 600, Duration::from_secs(30), false);
}

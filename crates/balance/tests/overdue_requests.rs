//! A sudden slowdown is detected from this host's overdue requests, before any answer or report.

mod common;

use std::time::Instant;

use balance::{Outcome, Settings};
use common::{SERVICE_TIME, answer, balancer, index, ms, one_by_one};

#[test]
fn stuck_is_avoided() {
    let mut now = Instant::now();
    let mut it = balancer(Settings::default(), 10, 6, now);
    one_by_one(&mut it, &mut now, 500, 10, |_| (Outcome::Success, SERVICE_TIME));
    let others: Vec<_> = (1..10).map(|i| format!("u{i}").into()).collect();
    let stuck = it.choose(now, &others).expect("room");
    assert_eq!(index(&stuck), 0);
    now += ms(100);
    let chosen = one_by_one(&mut it, &mut now, 200, 10, |_| (Outcome::Success, SERVICE_TIME));
    assert_eq!(chosen[0], 0, "{chosen:?}");
}

#[test]
fn recovered_is_used() {
    let mut now = Instant::now();
    let mut it = balancer(Settings::default(), 10, 6, now);
    one_by_one(&mut it, &mut now, 500, 10, |_| (Outcome::Success, SERVICE_TIME));
    let others: Vec<_> = (1..10).map(|i| format!("u{i}").into()).collect();
    let slow = it.choose(now, &others).expect("room");
    now += ms(200);
    it.finished(now, slow.dispatch, answer(Outcome::Success, ms(200), None));
    let chosen = one_by_one(&mut it, &mut now, 500, 10, |_| (Outcome::Success, SERVICE_TIME));
    assert!(chosen[0] > 20, "{chosen:?}");
}

#[test]
fn cancelled_counts_as_slow() {
    let mut now = Instant::now();
    let mut it = balancer(Settings::default(), 10, 6, now);
    one_by_one(&mut it, &mut now, 500, 10, |_| (Outcome::Success, SERVICE_TIME));
    let others: Vec<_> = (1..10).map(|i| format!("u{i}").into()).collect();
    let slow = it.choose(now, &others).expect("room");
    now += ms(200);
    it.finished(now, slow.dispatch, answer(Outcome::Cancelled, ms(200), None));
    let chosen = one_by_one(&mut it, &mut now, 10, 10, |_| (Outcome::Success, SERVICE_TIME));
    assert_eq!(chosen[0], 0, "{chosen:?}");
}

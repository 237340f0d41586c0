//! Propagation of a deadline over several hops.

use std::time::{Duration, Instant};

use admission::Deadline;

const HOPS: u32 = 6;

/// Propagates a deadline over six hops, `hop_ms` apart. Checks that each hop gets less time than
/// remains to the previous one, and that the last has at least `min_left_ms`, or that the time runs
/// out if none is given.
fn check(limit_ms: u64, hop_ms: u64, min_left_ms: Option<u64>) {
    let limit = Duration::from_millis(limit_ms);
    let mut now = Instant::now();
    let mut deadline = Deadline::new(now, limit, None);
    for _ in 0..HOPS {
        let Some(left) = deadline.next_hop(now) else {
            assert_eq!(min_left_ms, None, "{limit_ms} ms ran out");
            return;
        };
        assert!(left < deadline.remaining(now));
        assert_eq!(Deadline::parse(&left.as_millis().to_string()), Some(left));
        deadline = Deadline::new(now, limit, Some(left));
        now += Duration::from_millis(hop_ms);
    }
    let left = deadline.remaining(now).as_millis();
    let min = min_left_ms.map(u128::from).expect("must have run out");
    assert!(left >= min, "{limit_ms} ms: {left} ms left after {HOPS} hops");
}

#[test]
fn six_hops_suffice() {
    check(1_000, 0, Some(880));
    check(250, 0, Some(210));
    check(1_000, 10, Some(820));
}

#[test]
fn short_runs_out() {
    check(5, 0, None);
}

#[test]
fn bad_values_rejected() {
    for bad in ["", "-1", "1.5", "+3", "1s", " 7"] {
        assert_eq!(Deadline::parse(bad), None, "{bad:?}");
    }
    assert_eq!(Deadline::parse("99999999999999999999"), Some(Duration::MAX));
}

#[test]
fn route_limits_caller() {
    let now = Instant::now();
    let limit = Duration::from_millis(100);
    let stated = |it| Deadline::new(now, limit, Some(it)).remaining(now);
    assert_eq!(stated(Duration::MAX), limit);
    assert_eq!(stated(Duration::from_millis(20)), Duration::from_millis(20));
}

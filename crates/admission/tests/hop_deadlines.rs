//! Deadlines that shrink from hop to hop.

use std::time::{Duration, Instant};

use admission::Deadline;

const HOPS: u32 = 6;

/// Passes a deadline on six times, each hop `hop_ms` after the one before, and checks that each
/// gets less than the one before has, and how much the last has.
fn check(limit_ms: u64, hop_ms: u64, least_left_ms: Option<u64>) {
    let limit = Duration::from_millis(limit_ms);
    let mut now = Instant::now();
    let mut deadline = Deadline::new(now, limit, None);
    for _ in 0..HOPS {
        let Some(left) = deadline.next_hop(now) else {
            assert_eq!(least_left_ms, None, "{limit_ms} ms ran out");
            return;
        };
        assert!(left < deadline.remaining(now));
        assert_eq!(Deadline::parse(&left.as_millis().to_string()), Some(left));
        deadline = Deadline::new(now, limit, Some(left));
        now += Duration::from_millis(hop_ms);
    }
    let left = deadline.remaining(now).as_millis();
    let least = least_left_ms.map(u128::from).expect("must have run out");
    assert!(left >= least, "{limit_ms} ms: {left} ms left after {HOPS} hops");
}

#[test]
fn six_hops_keep_most_of_it() {
    check(1_000, 0, Some(880));
    check(250, 0, Some(210));
    check(1_000, 10, Some(820));
}

#[test]
fn a_short_one_runs_out() {
    check(5, 0, None);
}

#[test]
fn only_whole_milliseconds_are_read() {
    for bad in ["", "-1", "1.5", "+3", "1s", " 7"] {
        assert_eq!(Deadline::parse(bad), None, "{bad:?}");
    }
    assert_eq!(Deadline::parse("99999999999999999999"), Some(Duration::MAX));
}

#[test]
fn the_route_limits_what_a_caller_states() {
    let now = Instant::now();
    let limit = Duration::from_millis(100);
    let stated = |it| Deadline::new(now, limit, Some(it)).remaining(now);
    assert_eq!(stated(Duration::MAX), limit);
    assert_eq!(stated(Duration::from_millis(20)), Duration::from_millis(20));
}

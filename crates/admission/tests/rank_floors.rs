//! Under a flood of any rank the others keep their floors, and urgent requests are answered in
//! time.

mod bench;

use std::time::Duration;

use admission::{Gate, Rank, Settings};
use bench::{Source, ranks, run};

/// Duration of each run.
const LENGTH: Duration = Duration::from_secs(20);
/// Demand of the flooded rank, in multiples of the capacity.
const FLOOD: f64 = 10.0;
/// Minimum share of its floor that a rank must keep.
const FLOOR_KEPT: f64 = 0.95;
/// Minimum share of urgent requests that must be answered in time.
const URGENT_IN_TIME: f64 = 0.999;

/// A source whose demand is `slots` slots.
fn source(rank: &'static str, slots: f64, service_ms: u64, deadline_ms: u64) -> Source {
    let service = Duration::from_millis(service_ms);
    Source {
        rank,
        caller: rank,
        rate: slots / service.as_secs_f64(),
        service,
        deadline: Duration::from_millis(deadline_ms),
        from: Duration::ZERO,
        until: LENGTH,
    }
}

/// Floods one rank with ten times the capacity. While the others demand five times their floors,
/// checks the share of its floor that each keeps; while they demand half, checks that those with a
/// floor of at least a slot are served.
fn check(slots: u32, floors: [u8; 3], flooded: usize) {
    let floor = |it: usize| f64::from(slots) * f64::from(floors[it]) / 100.0;
    for usual in [5.0, 0.5] {
        let demand = |it: usize| {
            if it == flooded { FLOOD * f64::from(slots) } else { usual * floor(it) }
        };
        let sources = [
            source("urgent", demand(0), 20, 250),
            source("standard", demand(1), 30, 500),
            source("bulk", demand(2), 80, 3_000),
        ];
        let outcomes = run(7, Settings::default(), &ranks(floors), slots, &sources, LENGTH * 2);
        for it in (0..3).filter(|it| *it != flooded) {
            let claim = floor(it).min(demand(it));
            if usual < 1.0 && floor(it) < 1.0 {
                continue;
            }
            let kept = if usual > 1.0 {
                outcomes[it].mean_slots(LENGTH) / claim
            } else {
                outcomes[it].share_in_time()
            };
            let rank = sources[it].rank;
            assert!(
                kept >= FLOOR_KEPT,
                "{slots} slots {floors:?} x{usual}: {rank} keeps {kept:.3}"
            );
        }
    }
}

#[test]
fn urgent_flood_contained() {
    for slots in [1, 4, 8] {
        check(slots, [40, 20, 10], 0);
        check(slots, [50, 30, 20], 0);
    }
}

#[test]
fn middle_flood_contained() {
    for slots in [1, 4, 8] {
        check(slots, [40, 20, 10], 1);
        check(slots, [50, 30, 20], 1);
    }
}

#[test]
fn bulk_flood_contained() {
    for slots in [1, 4, 8] {
        check(slots, [40, 20, 10], 2);
        check(slots, [50, 30, 20], 2);
    }
}

/// Floods the last rank with ten times the capacity in requests of the given service time, and
/// checks that urgent requests are answered in time.
fn check_urgent(slots: u32, bulk_service_ms: u64) {
    let capacity = f64::from(slots);
    let sources = [
        source("urgent", 0.2 * capacity, 20, 250),
        source("standard", 0.1 * capacity, 30, 500),
        source("bulk", FLOOD * capacity, bulk_service_ms, 10 * bulk_service_ms),
    ];
    let outcomes = run(11, Settings::default(), &ranks([40, 20, 10]), slots, &sources, LENGTH * 2);
    let in_time = outcomes[0].share_in_time();
    assert!(
        in_time >= URGENT_IN_TIME,
        "{slots} slots, bulk of {bulk_service_ms} ms: {in_time:.4} of urgent requests in time"
    );
}

#[test]
fn urgent_passes_bulk() {
    check_urgent(4, 80);
    check_urgent(8, 80);
    check_urgent(15, 80);
}

#[test]
fn urgent_passes_long() {
    check_urgent(4, 1_000);
    check_urgent(8, 1_000);
    check_urgent(15, 5_000);
}

/// Unused floors are lent to other ranks.
#[test]
fn unused_floor_lent() {
    let sources = [source("bulk", FLOOD * 8.0, 40, 3_000)];
    let outcomes = run(3, Settings::default(), &ranks([40, 20, 10]), 8, &sources, LENGTH);
    let used = outcomes[0].mean_slots(LENGTH);
    assert!(used > 7.9, "{used:.2} of 8 slots used");
}

/// Requests of a removed rank that hold a slot are finished; new ones are refused.
#[test]
fn removed_rank_finishes() {
    let now = std::time::Instant::now();
    let mut gate = Gate::new(now, Settings::default(), &ranks([40, 20, 10]), 2);
    let request = |id, rank: &str| admission::Request {
        id,
        rank: rank.into(),
        caller: "a".into(),
        deadline: now + Duration::from_secs(1),
        expected: Duration::from_millis(10),
    };
    assert_eq!(gate.offer(now, request(1, "bulk")), admission::Verdict::Admitted);
    let left: Vec<Rank> = ranks([40, 20, 10]).into_iter().filter(|it| &*it.id != "bulk").collect();
    gate.set_ranks(now, &left);
    assert!(matches!(gate.offer(now, request(2, "bulk")), admission::Verdict::Refused(_)));
    assert_eq!(gate.snapshot().lanes.iter().map(|it| it.in_flight).sum::<u32>(), 1);
    gate.release(now, 1, None);
    assert_eq!(gate.snapshot().lanes.iter().map(|it| it.in_flight).sum::<u32>(), 0);
}

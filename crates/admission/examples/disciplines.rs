//! Compares settings of a gate under overload, on seeded loads: `cargo run --release -p admission
//! --example disciplines`.

#[path = "../tests/bench/mod.rs"]
mod bench;

use std::time::Duration;

use admission::Settings;
use bench::{Outcome, Source, ranks, run};

/// Duration of each run.
const LENGTH: Duration = Duration::from_mins(1);
/// Wait limit and newest-first threshold, in percent.
const VARIANTS: [(u8, u8); 6] = [(100, 100), (50, 100), (75, 75), (60, 75), (100, 75), (100, 50)];
const SEEDS: std::ops::Range<u64> = 1..6;

fn main() {
    println!(
        "case,settings,rank/caller,offered,in_time,late,turned_away,expired,slots,wait_p99_ms,latency_p50_ms,latency_p99_ms"
    );
    for load in [0.7, 0.95, 1.2, 2.0, 10.0] {
        for (wait_limit_percent, newest_first_after_percent) in VARIANTS {
            let settings =
                Settings { wait_limit_percent, newest_first_after_percent, ..Settings::default() };
            let name = format!("wait {wait_limit_percent} newest {newest_first_after_percent}");
            let sources = urgent_reads(load);
            report(&format!("reads x{load}"), &name, &settings, [40, 20, 10], 8, &sources);
        }
    }
    for headroom_percent in [0, 25, 50, 75, 100] {
        for slots in [4, 8] {
            let settings = Settings { headroom_percent, ..Settings::default() };
            let name = format!("headroom {headroom_percent} of {slots}");
            report("long work", &name, &settings, [40, 20, 10], slots, &long_work(slots));
        }
    }
    for flood in ["urgent", "standard", "bulk"] {
        for (slots, floors) in [(4, [40, 20, 10]), (8, [40, 20, 10]), (8, [50, 30, 20])] {
            let settings = Settings::default();
            let name = format!("{slots} slots {floors:?}");
            let case = format!("flood {flood}");
            report(&case, &name, &settings, floors, slots, &flooded(flood, slots));
        }
    }
}

fn report(
    case: &str,
    name: &str,
    settings: &Settings,
    floors: [u8; 3],
    slots: u32,
    sources: &[Source],
) {
    let mut sums: Vec<Outcome> = sources.iter().map(|_| Outcome::default()).collect();
    for seed in SEEDS {
        let outcomes = run(seed, settings.clone(), &ranks(floors), slots, sources, LENGTH);
        for (sum, it) in sums.iter_mut().zip(outcomes) {
            sum.offered += it.offered;
            sum.in_time += it.in_time;
            sum.late += it.late;
            sum.refused += it.refused;
            sum.expired += it.expired;
            sum.slot_time += it.slot_time;
            sum.waits.extend(it.waits);
            sum.latencies.extend(it.latencies);
        }
    }
    let runs = u32::try_from(SEEDS.count()).unwrap_or(1);
    for (source, it) in sources.iter().zip(&sums) {
        println!(
            "{case},{name},{}/{},{},{:.4},{},{},{},{:.3},{:.1},{:.1},{:.1}",
            source.rank,
            source.caller,
            it.offered,
            it.share_in_time(),
            it.late,
            it.refused,
            it.expired,
            it.mean_slots(LENGTH * runs),
            ms(percentile(&it.waits, 99)),
            ms(percentile(&it.latencies, 50)),
            ms(percentile(&it.latencies, 99)),
        );
    }
}

/// The value below which `percent` of all values lie.
fn percentile(values: &[Duration], percent: usize) -> Duration {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() * percent / 100).copied().unwrap_or_default()
}

fn ms(it: Duration) -> f64 {
    it.as_secs_f64() * 1e3
}

fn source(
    rank: &'static str,
    caller: &'static str,
    load_slots: f64,
    service_ms: u64,
    deadline_ms: u64,
) -> Source {
    let service = Duration::from_millis(service_ms);
    Source {
        rank,
        caller,
        rate: load_slots / service.as_secs_f64(),
        service,
        deadline: Duration::from_millis(deadline_ms),
        from: Duration::ZERO,
        until: LENGTH,
    }
}

fn urgent_reads(load: f64) -> Vec<Source> {
    let each = load * 8.0 / 2.0;
    vec![source("urgent", "a", each, 20, 250), source("urgent", "b", each, 20, 250)]
}

fn long_work(slots: u32) -> Vec<Source> {
    let slots = f64::from(slots);
    vec![
        source("urgent", "a", slots * 0.2, 20, 150),
        source("bulk", "b", slots * 5.0, 1_000, 10_000),
    ]
}

fn flooded(flood: &str, slots: u32) -> Vec<Source> {
    let slots = f64::from(slots);
    let load = |rank: &str, usual: f64| slots * if rank == flood { 10.0 } else { usual };
    vec![
        source("urgent", "a", load("urgent", 0.25), 20, 250),
        source("standard", "b", load("standard", 0.35), 30, 500),
        source("bulk", "c", load("bulk", 0.3), 80, 3_000),
    ]
}

//! Prints what becomes of requests under the load patterns of `docs/design/overload.md`, with the
//! order before admission control and with the present one.

#[path = "../tests/overload/mod.rs"]
mod overload;

use overload::{Current, Pattern, Policy, Previous, Score, patterns, run};

const SEEDS: u64 = 5;

fn main() {
    let filter = std::env::args().nth(1).unwrap_or_default();
    println!("pattern | kind or tenant | policy | in time | late | failed | worth | held");
    for pattern in patterns().into_iter().filter(|it| it.name.contains(&filter)) {
        print_rows::<Previous>(&pattern, "previous");
        print_rows::<Current>(&pattern, "current");
    }
}

fn print_rows<P: Policy>(pattern: &Pattern, policy: &str) {
    let mut rows: Vec<(&str, Score)> = Vec::new();
    for seed in 0..SEEDS {
        let scores = run::<P>(pattern, seed);
        let parts = scores.kinds.into_iter().chain(scores.tenants);
        for (name, score) in [("all", scores.total)].into_iter().chain(parts) {
            match rows.iter_mut().find(|(it, _)| *it == name) {
                Some((_, sum)) => add(sum, &score),
                None => rows.push((name, score)),
            }
        }
    }
    for (name, it) in rows {
        let share = |count: u32| 100.0 * f64::from(count) / f64::from(it.requests.max(1));
        println!(
            "{} | {name} | {policy} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1}",
            pattern.name,
            share(it.in_time),
            share(it.late),
            share(it.failed),
            100.0 * it.worth_share(),
            share(it.held),
        );
    }
}

fn add(sum: &mut Score, it: &Score) {
    sum.requests += it.requests;
    sum.in_time += it.in_time;
    sum.late += it.late;
    sum.failed += it.failed;
    sum.held += it.held;
    sum.longest_held_ms = sum.longest_held_ms.max(it.longest_held_ms);
}

//! Measures the time of one offer and release: `cargo run --release -p admission --example
//! offer_cost`.

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use admission::{Gate, Rank, Request, Settings};

/// Number of offers measured.
const ROUNDS: u32 = 1_000_000;
const SLOTS: u32 = 8;

fn main() {
    for queued in [0, 100, 1_000] {
        println!("{queued} waiting: {} ns per offer and release", measure(queued).as_nanos());
    }
}

/// Mean time of one offer and one release while `queued` requests wait.
fn measure(queued: u32) -> Duration {
    let ids = ["urgent", "standard", "bulk"].map(Arc::<str>::from);
    let ranks: Vec<Rank> = ids
        .iter()
        .zip(0..)
        .map(|(id, order)| Rank { id: id.clone(), order, floor_percent: 20 })
        .collect();
    let callers: Vec<Arc<str>> = (0..50).map(|it| format!("10.0.0.{it}").into()).collect();
    let mut now = Instant::now();
    let settings = Settings { queue_limit: usize::MAX, ..Settings::default() };
    let mut gate = Gate::new(now, settings, &ranks, SLOTS);
    let mut next = 0_usize;
    let mut offer = |gate: &mut Gate, now: Instant| {
        next += 1;
        let request = Request {
            id: next as u64,
            rank: ids[0].clone(),
            caller: callers[next % callers.len()].clone(),
            deadline: now + Duration::from_hours(1),
            expected: Duration::from_millis(5),
        };
        black_box(gate.offer(now, request));
        next as u64
    };
    let mut first = 1;
    let fill = if queued == 0 { 1 } else { SLOTS + queued };
    for _ in 0..fill {
        offer(&mut gate, now);
    }
    let mut held: Vec<u64> = (first..=u64::from(fill.min(SLOTS))).collect();
    let start = Instant::now();
    for _ in 0..ROUNDS {
        now += Duration::from_micros(10);
        let id = offer(&mut gate, now);
        first = held.swap_remove(0);
        let events = gate.release(now, first, Some(Duration::from_millis(5)));
        let admitted = events.first().map_or(id, |it| match it {
            admission::Event::Admit(id) | admission::Event::Expire(id) => *id,
        });
        held.push(admitted);
    }
    start.elapsed() / ROUNDS
}

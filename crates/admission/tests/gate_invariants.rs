//! Invariants of a gate under any sequence of calls.

use std::{
    collections::BTreeMap,
    env,
    time::{Duration, Instant},
};

use admission::{Event, Gate, Rank, Request, RequestId, Settings, Verdict};
use quickcheck::{Arbitrary, Gen};

const CASES: u64 = 300;
/// Number of slots of the gate.
const CAPACITY: u32 = 6;
const RANKS: [&str; 3] = ["urgent", "standard", "bulk"];
const FLOORS_PERCENT: [u8; 3] = [40, 25, 15];

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer { rank: u8, caller: u8, deadline_ms: u8, expected_ms: u8 },
    Release(u8),
    Cancel(u8),
    Wait(u8),
    Capacity(u8),
    Ranks(bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0..=5 => Self::Offer {
                rank: u8::arbitrary(g) % 3,
                caller: u8::arbitrary(g) % 4,
                deadline_ms: u8::arbitrary(g),
                expected_ms: u8::arbitrary(g) % 30,
            },
            6 | 7 => Self::Release(u8::arbitrary(g)),
            8 => Self::Cancel(u8::arbitrary(g)),
            9 => Self::Wait(u8::arbitrary(g) % 40),
            10 => Self::Capacity(u8::arbitrary(g) % 10),
            _ => Self::Ranks(bool::arbitrary(g)),
        }
    }
}

/// The first `count` of three ranks.
fn ranks(count: usize) -> Vec<Rank> {
    let floors = FLOORS_PERCENT.iter().zip(0..).zip(RANKS);
    let rank = |((floor_percent, order), id): ((&u8, u8), &str)| Rank {
        id: id.into(),
        order,
        floor_percent: *floor_percent,
    };
    floors.take(count).map(rank).collect()
}

/// Independent bookkeeping of the calls to the gate and of its results.
struct Model {
    now: Instant,
    gate: Gate,
    capacity: u32,
    rank_count: usize,
    waiting: BTreeMap<RequestId, (usize, Instant)>,
    running: Vec<(RequestId, usize)>,
    offered: u64,
    ended: u64,
}

impl Model {
    fn new(newest_first_after_percent: u8) -> Self {
        let now = Instant::now();
        let settings =
            Settings { newest_first_after_percent, queue_limit: 12, ..Settings::default() };
        Self {
            now,
            gate: Gate::new(now, settings, &ranks(RANKS.len()), CAPACITY),
            capacity: CAPACITY,
            rank_count: RANKS.len(),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            offered: 0,
            ended: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Offer { rank, caller, deadline_ms, expected_ms } => {
                self.offer(rank, caller, deadline_ms, expected_ms);
            }
            Step::Release(pick) if !self.running.is_empty() => {
                let (id, _) = self.running.swap_remove(usize::from(pick) % self.running.len());
                self.ended += 1;
                let served = Some(Duration::from_millis(u64::from(pick)));
                let events = self.gate.release(self.now, id, served);
                self.apply_events(&events);
            }
            Step::Cancel(pick) if !self.waiting.is_empty() => {
                let nth = usize::from(pick) % self.waiting.len();
                let id = *self.waiting.keys().nth(nth).expect("a waiting request");
                self.waiting.remove(&id);
                self.ended += 1;
                let events = self.gate.cancel(self.now, id);
                self.apply_events(&events);
            }
            Step::Release(_) | Step::Cancel(_) => {}
            Step::Wait(ms) => {
                self.now += Duration::from_millis(u64::from(ms));
                let events = self.gate.tick(self.now);
                self.apply_events(&events);
            }
            Step::Capacity(slots) => {
                self.capacity = u32::from(slots);
                let events = self.gate.set_capacity(self.now, self.capacity);
                self.apply_events(&events);
            }
            Step::Ranks(with_last) => {
                self.rank_count = RANKS.len() - usize::from(!with_last);
                let events = self.gate.set_ranks(self.now, &ranks(self.rank_count));
                self.apply_events(&events);
            }
        }
    }

    fn offer(&mut self, rank: u8, caller: u8, deadline_ms: u8, expected_ms: u8) {
        let id = self.offered;
        self.offered += 1;
        let expected = Duration::from_millis(u64::from(expected_ms));
        let deadline = self.now + Duration::from_millis(u64::from(deadline_ms));
        let index = usize::from(rank);
        let rank = RANKS[index].into();
        let caller = caller.to_string().into();
        let request = Request { id, rank, caller, deadline, expected };
        match self.gate.offer(self.now, request) {
            Verdict::Admitted => self.run(id, index, deadline),
            Verdict::Queued { displaced } => {
                self.waiting.insert(id, (index, deadline));
                if let Some(it) = displaced {
                    self.waiting.remove(&it.id).expect("a displaced request was waiting");
                    self.ended += 1;
                }
            }
            Verdict::Refused(refusal) => {
                assert!(!refusal.retry_after.is_zero());
                self.ended += 1;
            }
        }
    }

    fn apply_events(&mut self, events: &[Event]) {
        for event in events {
            match *event {
                Event::Admit(id) => {
                    let (rank, deadline) =
                        self.waiting.remove(&id).expect("admitted once, from the queue");
                    self.run(id, rank, deadline);
                }
                Event::Expire(id) => {
                    self.waiting.remove(&id).expect("expired once, from the queue");
                    self.ended += 1;
                }
            }
        }
    }

    fn run(&mut self, id: RequestId, rank: usize, deadline: Instant) {
        assert!(self.now < deadline, "dispatched after the deadline");
        if f64::from(self.running_of(rank)) >= self.floor(rank) {
            let has_claim = |it: &usize| {
                let is_waiting = self.waiting.values().any(|(waiting, _)| waiting == it);
                is_waiting && f64::from(self.running_of(*it)) + 1.0 <= self.floor(*it)
            };
            assert_eq!(
                (0..RANKS.len()).find(has_claim),
                None,
                "a slot of another rank's floor is taken"
            );
        }
        self.running.push((id, rank));
        assert!(self.running.len() <= self.capacity as usize, "above capacity");
    }

    fn running_of(&self, rank: usize) -> u32 {
        self.running.iter().map(|(_, it)| u32::from(*it == rank)).sum()
    }

    /// Guaranteed slots of a rank.
    fn floor(&self, rank: usize) -> f64 {
        let percent = if rank < self.rank_count { FLOORS_PERCENT[rank] } else { 0 };
        f64::from(self.capacity) * f64::from(percent) / 100.0
    }

    fn check_counts(&self) {
        let lanes = self.gate.snapshot().lanes;
        let queued: usize = lanes.iter().map(|it| it.queued).sum();
        let in_flight: u32 = lanes.iter().map(|it| it.in_flight).sum();
        assert_eq!(queued, self.waiting.len());
        assert_eq!(in_flight as usize, self.running.len());
        assert_eq!(self.offered, self.ended + (queued + self.running.len()) as u64);
    }
}

fn check(newest_first_after_percent: u8) {
    let first = env::var("SEED").ok().and_then(|it| it.parse().ok()).unwrap_or(1);
    for seed in first..first + CASES {
        let mut source = Gen::from_size_and_seed(200, seed);
        let mut model = Model::new(newest_first_after_percent);
        for step in Vec::<Step>::arbitrary(&mut source) {
            model.apply(step);
            model.check_counts();
        }
        // Waiting requests expire even if no slot is ever released.
        model.apply(Step::Wait(u8::MAX));
        model.apply(Step::Wait(u8::MAX));
        assert!(model.waiting.is_empty(), "seed {seed}: a request waits forever");
    }
}

#[test]
fn oldest_first_holds() {
    check(100);
}

#[test]
fn newest_first_holds() {
    check(50);
}

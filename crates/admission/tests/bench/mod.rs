//! A seeded open-loop load on one gate, on virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use admission::{Event, Gate, Rank, Request, RequestId, Settings, Verdict};

const TICK: Duration = Duration::from_millis(5);

/// Requests of one rank and caller.
#[derive(Clone, Copy)]
pub(crate) struct Source {
    pub(crate) rank: &'static str,
    pub(crate) caller: &'static str,
    /// Arrivals a second, Poisson.
    pub(crate) rate: f64,
    /// Mean service time, exponential.
    pub(crate) service: Duration,
    pub(crate) deadline: Duration,
    /// When the arrivals begin and end.
    pub(crate) from: Duration,
    pub(crate) until: Duration,
}

/// What became of the requests of one source.
#[derive(Default)]
pub(crate) struct Outcome {
    pub(crate) offered: u32,
    /// Whole answers before the deadline.
    pub(crate) in_time: u32,
    /// Answers after the deadline: slots spent for nothing.
    pub(crate) late: u32,
    pub(crate) turned_away: u32,
    pub(crate) expired: u32,
    /// Slot time held while the load ran.
    pub(crate) held: Duration,
    /// Waits of admitted requests.
    pub(crate) waits: Vec<Duration>,
    /// Times from offer to answer, of requests answered in time.
    pub(crate) latencies: Vec<Duration>,
}

impl Outcome {
    pub(crate) fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered.max(1))
    }

    pub(crate) fn mean_slots(&self, over: Duration) -> f64 {
        self.held.as_secs_f64() / over.as_secs_f64()
    }
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive(usize),
    Finish(RequestId),
    Tick,
}

struct Flight {
    source: usize,
    offered: Duration,
    service: Duration,
    started: Duration,
}

/// One run of sources against a gate.
struct Run {
    origin: Instant,
    now: Duration,
    random: fastrand::Rng,
    gate: Gate,
    sources: Vec<Source>,
    agenda: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    steps: u64,
    flights: HashMap<RequestId, Flight>,
    outcomes: Vec<Outcome>,
}

/// Runs `sources` for `length` on a gate of `slots`.
pub(crate) fn run(
    seed: u64,
    settings: Settings,
    ranks: &[Rank],
    slots: u32,
    sources: &[Source],
    length: Duration,
) -> Vec<Outcome> {
    let origin = Instant::now();
    let mut run = Run {
        origin,
        now: Duration::ZERO,
        random: fastrand::Rng::with_seed(seed),
        gate: Gate::new(origin, settings, ranks, slots),
        sources: sources.to_vec(),
        agenda: BinaryHeap::new(),
        steps: 0,
        flights: HashMap::new(),
        outcomes: sources.iter().map(|_| Outcome::default()).collect(),
    };
    for (index, source) in sources.iter().enumerate() {
        run.plan(source.from, Step::Arrive(index));
    }
    run.plan(TICK, Step::Tick);
    run.play(length);
    run.outcomes
}

impl Run {
    fn plan(&mut self, at: Duration, step: Step) {
        self.steps += 1;
        self.agenda.push(Reverse((at, self.steps, step)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.random.f64()).ln() * mean)
    }

    fn play(&mut self, length: Duration) {
        while let Some(Reverse((at, _, step))) = self.agenda.pop() {
            if at > length {
                return;
            }
            self.now = at;
            match step {
                Step::Arrive(source) => self.arrive(source),
                Step::Finish(id) => self.finish(id),
                Step::Tick => {
                    let events = self.gate.tick(self.origin + self.now);
                    self.follow(&events);
                    self.plan(at + TICK, Step::Tick);
                }
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let source = self.sources[index];
        let gap = self.exponential(1.0 / source.rate);
        if self.now + gap < source.until {
            self.plan(self.now + gap, Step::Arrive(index));
        }
        let id = self.steps;
        let service = self.exponential(source.service.as_secs_f64());
        let flight = Flight { source: index, offered: self.now, service, started: self.now };
        self.flights.insert(id, flight);
        self.outcomes[index].offered += 1;
        let request = Request {
            id,
            rank: source.rank.into(),
            caller: source.caller.into(),
            deadline: self.origin + self.now + source.deadline,
            expected: source.service,
        };
        match self.gate.offer(self.origin + self.now, request) {
            Verdict::Admitted => self.start(id),
            Verdict::Queued { displaced } => {
                if let Some(it) = displaced {
                    let flight = self.flights.remove(&it.id).expect("known");
                    self.outcomes[flight.source].turned_away += 1;
                }
            }
            Verdict::Refused(_) => {
                self.flights.remove(&id);
                self.outcomes[index].turned_away += 1;
            }
        }
        self.steps += 1;
    }

    fn start(&mut self, id: RequestId) {
        let flight = self.flights.get_mut(&id).expect("known");
        flight.started = self.now;
        let end = self.now + flight.service;
        let (source, wait) = (flight.source, self.now.saturating_sub(flight.offered));
        self.outcomes[source].waits.push(wait);
        self.plan(end, Step::Finish(id));
    }

    fn finish(&mut self, id: RequestId) {
        let flight = self.flights.remove(&id).expect("known");
        let outcome = &mut self.outcomes[flight.source];
        outcome.held += self.now.saturating_sub(flight.started);
        let latency = self.now.saturating_sub(flight.offered);
        if latency < self.sources[flight.source].deadline {
            outcome.in_time += 1;
            outcome.latencies.push(latency);
        } else {
            outcome.late += 1;
        }
        let events = self.gate.release(self.origin + self.now, id, Some(flight.service));
        self.follow(&events);
    }

    fn follow(&mut self, events: &[Event]) {
        for event in events {
            match *event {
                Event::Admit(id) => self.start(id),
                Event::Expire(id) => {
                    let flight = self.flights.remove(&id).expect("known");
                    self.outcomes[flight.source].expired += 1;
                }
            }
        }
    }
}

/// Three ranks with the given floors in percent.
pub(crate) fn ranks(floors: [u8; 3]) -> Vec<Rank> {
    let ids = ["urgent", "standard", "bulk"];
    (0..3u8)
        .map(|it| Rank {
            id: ids[usize::from(it)].into(),
            order: it,
            floor_percent: floors[usize::from(it)],
        })
        .collect()
}

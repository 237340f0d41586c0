//! Simulates a seeded open-loop load on one gate, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use admission::{Event, Gate, Rank, Request, RequestId, Settings, Verdict};

/// Time between two calls of [`Gate::tick`].
const TICK: Duration = Duration::from_millis(5);

/// Requests of one rank and caller.
#[derive(Clone, Copy)]
pub(crate) struct Source {
    pub(crate) rank: &'static str,
    pub(crate) caller: &'static str,
    /// Rate of Poisson arrivals, per second.
    pub(crate) rate: f64,
    /// Mean of the exponentially distributed service time.
    pub(crate) service: Duration,
    pub(crate) deadline: Duration,
    /// Time at which arrivals begin; they end at `until`.
    pub(crate) from: Duration,
    pub(crate) until: Duration,
}

/// Results for the requests of one source.
#[derive(Default)]
pub(crate) struct Outcome {
    pub(crate) offered: u32,
    /// Complete answers before the deadline.
    pub(crate) in_time: u32,
    /// Answers after the deadline, whose slot time was wasted.
    pub(crate) late: u32,
    pub(crate) refused: u32,
    pub(crate) expired: u32,
    /// Total time for which requests held slots.
    pub(crate) slot_time: Duration,
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
        self.slot_time.as_secs_f64() / over.as_secs_f64()
    }
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive(usize),
    Finish(RequestId),
    Tick,
}

struct Job {
    source: usize,
    offered: Duration,
    service: Duration,
    started: Duration,
}

/// One run of sources against a gate.
struct Run {
    origin: Instant,
    now: Duration,
    rng: fastrand::Rng,
    gate: Gate,
    sources: Vec<Source>,
    schedule: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    steps: u64,
    jobs: HashMap<RequestId, Job>,
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
        rng: fastrand::Rng::with_seed(seed),
        gate: Gate::new(origin, settings, ranks, slots),
        sources: sources.to_vec(),
        schedule: BinaryHeap::new(),
        steps: 0,
        jobs: HashMap::new(),
        outcomes: sources.iter().map(|_| Outcome::default()).collect(),
    };
    for (index, source) in sources.iter().enumerate() {
        run.schedule(source.from, Step::Arrive(index));
    }
    run.schedule(TICK, Step::Tick);
    run.simulate(length);
    run.outcomes
}

impl Run {
    fn schedule(&mut self, at: Duration, step: Step) {
        self.steps += 1;
        self.schedule.push(Reverse((at, self.steps, step)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() * mean)
    }

    fn simulate(&mut self, length: Duration) {
        while let Some(Reverse((at, _, step))) = self.schedule.pop() {
            if at > length {
                return;
            }
            self.now = at;
            match step {
                Step::Arrive(source) => self.arrive(source),
                Step::Finish(id) => self.finish(id),
                Step::Tick => {
                    let events = self.gate.tick(self.origin + self.now);
                    self.apply(&events);
                    self.schedule(at + TICK, Step::Tick);
                }
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let source = self.sources[index];
        let gap = self.exponential(1.0 / source.rate);
        if self.now + gap < source.until {
            self.schedule(self.now + gap, Step::Arrive(index));
        }
        let id = self.steps;
        let service = self.exponential(source.service.as_secs_f64());
        let job = Job { source: index, offered: self.now, service, started: self.now };
        self.jobs.insert(id, job);
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
                    let job = self.jobs.remove(&it.id).expect("known");
                    self.outcomes[job.source].refused += 1;
                }
            }
            Verdict::Refused(_) => {
                self.jobs.remove(&id);
                self.outcomes[index].refused += 1;
            }
        }
        self.steps += 1;
    }

    fn start(&mut self, id: RequestId) {
        let job = self.jobs.get_mut(&id).expect("known");
        job.started = self.now;
        let end = self.now + job.service;
        let (source, wait) = (job.source, self.now.saturating_sub(job.offered));
        self.outcomes[source].waits.push(wait);
        self.schedule(end, Step::Finish(id));
    }

    fn finish(&mut self, id: RequestId) {
        let job = self.jobs.remove(&id).expect("known");
        let outcome = &mut self.outcomes[job.source];
        outcome.slot_time += self.now.saturating_sub(job.started);
        let latency = self.now.saturating_sub(job.offered);
        if latency < self.sources[job.source].deadline {
            outcome.in_time += 1;
            outcome.latencies.push(latency);
        } else {
            outcome.late += 1;
        }
        let events = self.gate.release(self.origin + self.now, id, Some(job.service));
        self.apply(&events);
    }

    fn apply(&mut self, events: &[Event]) {
        for event in events {
            match *event {
                Event::Admit(id) => self.start(id),
                Event::Expire(id) => {
                    let job = self.jobs.remove(&id).expect("known");
                    self.outcomes[job.source].expired += 1;
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

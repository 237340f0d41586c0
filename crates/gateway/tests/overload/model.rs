//! Events of the simulation.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use gateway::load::Waiter;

use super::{Pattern, Policy, Scores, Source};

const BURST_AT_MS: u64 = 8_000;
/// Time after the burst during which requests still count.
const RECOVERY_MS: u64 = 3_000;
const TICK_MS: u64 = 20;
/// Share of the time left that callers wait for `Retry-After`.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;

/// A caller's request with its attempts.
#[derive(Clone, Copy)]
struct Call {
    source: Source,
    first: Duration,
    retries_left: u32,
    is_counted: bool,
}

impl Call {
    fn deadline(&self) -> Duration {
        self.first + ms(self.source.kind.deadline_ms.into())
    }

    fn target(&self) -> Duration {
        ms(self.source.kind.target_ms.into())
    }
}

#[derive(Clone, Copy)]
enum Event {
    /// A source sends its next request.
    Arrival(usize),
    /// A caller tries again.
    Retry(Call),
    /// A daemon's request has been answered, or its caller has left.
    Finished { daemon: usize, call: Call, is_answered: bool },
    /// Periodic work of the daemons.
    Tick,
}

struct Daemon<P> {
    queue: P,
    waiting: HashMap<u64, (Call, Duration)>,
    in_flight: usize,
}

struct Model<'a, P> {
    pattern: &'a Pattern,
    start: Instant,
    rng: fastrand::Rng,
    /// Separate, so that the same requests arrive whatever the policy.
    arrivals: fastrand::Rng,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    payloads: HashMap<u64, Event>,
    serial: u64,
    daemons: Vec<Daemon<P>>,
    /// Share of the callers by daemon.
    weights: Vec<f64>,
    free: usize,
    scores: Scores,
}

/// Runs a pattern and returns what became of the requests sent from the burst's begin until some
/// seconds after its end.
pub fn run<P: Policy>(pattern: &Pattern, seed: u64) -> Scores {
    let mut rng = fastrand::Rng::with_seed(seed);
    let slots = pattern.slots as f64 / pattern.daemons as f64;
    let daemons = (0..pattern.daemons)
        .map(|it| {
            let queue = P::new(slots, seed ^ it as u64);
            Daemon { queue, waiting: HashMap::new(), in_flight: 0 }
        })
        .collect();
    let weights: Vec<_> = (0..pattern.daemons).map(|_| 0.5 + rng.f64()).collect();
    let mut model = Model {
        pattern,
        start: Instant::now(),
        arrivals: rng.fork(),
        rng,
        events: BinaryHeap::new(),
        payloads: HashMap::new(),
        serial: 0,
        daemons,
        weights,
        free: pattern.slots,
        scores: Scores::default(),
    };
    for it in 0..pattern.sources.len() {
        model.schedule(Duration::ZERO, Event::Arrival(it));
    }
    model.schedule(Duration::ZERO, Event::Tick);
    let end = ms(BURST_AT_MS + pattern.burst_ms + RECOVERY_MS + 5_000);
    while let Some(Reverse((at, serial))) = model.events.pop()
        && at < end
    {
        if let Some(it) = model.payloads.remove(&serial) {
            model.handle(at, it);
        }
    }
    model.scores
}

impl<P: Policy> Model<'_, P> {
    fn schedule(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial)));
        self.payloads.insert(self.serial, event);
    }

    fn handle(&mut self, at: Duration, event: Event) {
        match event {
            Event::Arrival(it) => self.arrive(at, it),
            Event::Retry(it) => self.attempt(at, it),
            Event::Finished { daemon, call, is_answered } => {
                self.free += 1;
                self.daemons[daemon].in_flight -= 1;
                self.settle(at, call, is_answered);
                // The daemon itself learns first that the slot is free.
                self.serve(at, daemon);
                if self.free > 0 {
                    self.serve_all(at);
                }
            }
            Event::Tick => {
                self.serve_all(at);
                self.schedule(at + ms(TICK_MS), Event::Tick);
            }
        }
    }

    fn arrive(&mut self, at: Duration, index: usize) {
        let source = self.pattern.sources[index];
        let burst_end = BURST_AT_MS + self.pattern.burst_ms;
        let is_burst = at >= ms(BURST_AT_MS) && at < ms(burst_end);
        let factor = if is_burst { source.burst } else { 1.0 };
        let rate = source.load * factor * self.pattern.slots as f64 / source.kind.mean_s();
        // Poisson arrivals.
        let pause = -(1.0 - self.arrivals.f64()).ln() / rate;
        self.schedule(at + Duration::from_secs_f64(pause), Event::Arrival(index));
        let is_counted = at >= ms(BURST_AT_MS) && at < ms(burst_end + RECOVERY_MS);
        let retries_left = self.rng.u32(1..=2);
        if is_counted {
            self.scores.update(source.kind.route, source.tenant, |it| it.requests += 1);
        }
        self.attempt(at, Call { source, first: at, retries_left, is_counted });
    }

    fn attempt(&mut self, at: Duration, call: Call) {
        let daemon = self.choose_daemon();
        let now = self.start + at;
        let waiter = self.waiter(at, &call);
        if self.free > 0 && self.daemons[daemon].queue.is_empty() {
            self.daemons[daemon].queue.record_sent(now, &waiter);
            self.send(at, daemon, call);
            return;
        }
        self.update_slots(daemon);
        match self.daemons[daemon].queue.offer(now, waiter) {
            Ok(serial) => {
                self.daemons[daemon].waiting.insert(serial, (call, at));
                self.serve(at, daemon);
            }
            Err(retry_after) => self.refuse(at, call, at, retry_after),
        }
    }

    fn choose_daemon(&mut self) -> usize {
        let mut rest = self.rng.f64() * self.weights.iter().sum::<f64>();
        let found = self.weights.iter().position(|it| {
            rest -= it;
            rest <= 0.0
        });
        found.unwrap_or_default()
    }

    fn waiter(&self, at: Duration, call: &Call) -> Waiter {
        let kind = call.source.kind;
        let received = self.start + at;
        Waiter {
            route: kind.route.into(),
            tenant: call.source.tenant.map(Into::into),
            priority: kind.priority,
            received,
            since: received,
            target_latency: call.target(),
            target: received + call.target(),
            deadline: self.start + call.deadline(),
            time_limit: call.deadline().saturating_sub(at),
            service_time: ms(kind.work_ms.into()).mul_f64(1.08),
            work: Duration::from_secs_f64(kind.mean_s()),
        }
    }

    fn send(&mut self, at: Duration, daemon: usize, call: Call) {
        self.free -= 1;
        self.daemons[daemon].in_flight += 1;
        let kind = call.source.kind;
        let factor = if self.rng.f64() < kind.tail { 7.0 } else { 1.0 };
        let work = ms(kind.work_ms.into()).mul_f64((0.9 + 0.2 * self.rng.f64()) * factor);
        let is_answered = at + work <= call.deadline();
        let end = (at + work).min(call.deadline().max(at));
        self.schedule(end, Event::Finished { daemon, call, is_answered });
    }

    fn serve(&mut self, at: Duration, daemon: usize) {
        let now = self.start + at;
        self.update_slots(daemon);
        for (serial, retry_after) in self.daemons[daemon].queue.tick(now) {
            if let Some((call, since)) = self.daemons[daemon].waiting.remove(&serial) {
                self.refuse(at, call, since, retry_after);
            }
        }
        while self.free > 0
            && let Some(serial) = self.daemons[daemon].queue.next(now)
        {
            if let Some((call, _)) = self.daemons[daemon].waiting.remove(&serial) {
                self.send(at, daemon, call);
            }
        }
    }

    /// As the dispatcher does: a daemon's share is what it holds, or an equal one if that is more.
    fn update_slots(&mut self, daemon: usize) {
        let equal = self.pattern.slots as f64 / self.daemons.len() as f64;
        let daemon = &mut self.daemons[daemon];
        daemon.queue.set_slots(equal.max(daemon.in_flight as f64));
    }

    fn serve_all(&mut self, at: Duration) {
        let first = self.rng.usize(..self.daemons.len());
        for it in 0..self.daemons.len() {
            let daemon = (first + it) % self.daemons.len();
            if !self.daemons[daemon].queue.is_empty() {
                self.serve(at, daemon);
            }
        }
    }

    fn refuse(&mut self, at: Duration, call: Call, since: Duration, retry_after: Duration) {
        let held = at.saturating_sub(since);
        let left = call.deadline().saturating_sub(at);
        if call.is_counted && held > call.target() / 8 {
            let held_ms = u32::try_from(held.as_millis()).unwrap_or(u32::MAX);
            self.scores.update(call.source.kind.route, call.source.tenant, |it| {
                it.held += 1;
                it.longest_held_ms = it.longest_held_ms.max(held_ms);
            });
        }
        if call.retries_left > 0 && retry_after <= left.mul_f64(MAX_RETRY_SHARE) {
            let call = Call { retries_left: call.retries_left - 1, ..call };
            self.schedule(at + retry_after + ms(5), Event::Retry(call));
        } else {
            self.settle(at, call, false);
        }
    }

    fn settle(&mut self, at: Duration, call: Call, is_answered: bool) {
        if !call.is_counted {
            return;
        }
        let is_in_time = is_answered && at <= call.first + call.target();
        self.scores.update(call.source.kind.route, call.source.tenant, |it| {
            match (is_answered, is_in_time) {
                (_, true) => it.in_time += 1,
                (true, false) => it.late += 1,
                (false, false) => it.failed += 1,
            }
        });
    }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

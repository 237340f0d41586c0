//! A fake upstream: slots, a queue in order of arrival, and a speed that changes at any moment.

use std::collections::VecDeque;

use balance::Report;

use super::scenario::{Scenario, Spread};

/// Index of a request, or `None` for a probe.
pub(crate) type Work = Option<usize>;

/// Work at the server, waiting or in a slot.
#[derive(Clone, Copy, Debug)]
struct Job {
    work: Work,
    remaining_s: f64,
    started_s: f64,
}

/// A job that has left its slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Finished {
    pub(crate) work: Work,
    pub(crate) started_s: f64,
}

/// A fake upstream.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) domain: usize,
    /// Factor on all work by noisy neighbours.
    pub(crate) noise: f64,
    /// Factor on all work by a fault.
    pub(crate) fault: f64,
    pub(crate) fails_fast: bool,
    pub(crate) drains: bool,
    /// Requests that are on their way here, which only the oracle knows.
    pub(crate) in_transit: u32,
    /// Grows with each change, so that outdated completion events can be told.
    pub(crate) generation: u64,
    slots: usize,
    mean_work_s: f64,
    jobs: Vec<Job>,
    queue: VecDeque<Job>,
    at_s: f64,
    report: Report,
    report_period_s: f64,
}

impl Server {
    pub(crate) fn new(scenario: &Scenario, index: usize) -> Self {
        Self {
            domain: index % scenario.domains,
            noise: 1.0,
            fault: 1.0,
            fails_fast: false,
            drains: false,
            in_transit: 0,
            generation: 0,
            slots: scenario.slots as usize,
            mean_work_s: scenario.service_ms / 1e3,
            jobs: Vec::new(),
            queue: VecDeque::new(),
            at_s: 0.0,
            report: Report::default(),
            report_period_s: scenario.report_period_ms / 1e3,
        }
    }

    /// Factor on all work.
    pub(crate) fn slowness(&self) -> f64 {
        self.noise * self.fault
    }

    /// Requests here and on their way.
    fn present(&self) -> f64 {
        (self.jobs.len() + self.queue.len()) as f64 + f64::from(self.in_transit)
    }

    /// Time that a request of mean work would take if it came now and the speed stayed.
    pub(crate) fn expected_s(&self) -> f64 {
        if self.drains || self.fails_fast {
            return f64::INFINITY;
        }
        let slots = self.slots as f64;
        let waits = (self.present() + 1.0 - slots).max(0.0) / slots;
        self.mean_work_s * self.slowness() * (1.0 + waits)
    }

    /// Requests that wait for a slot.
    pub(crate) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Works until `now_s`; must precede every change.
    pub(crate) fn advance(&mut self, now_s: f64) {
        self.refresh_report(now_s);
        let done_s = (now_s - self.at_s) / self.slowness();
        self.jobs.iter_mut().for_each(|it| it.remaining_s -= done_s);
        self.at_s = now_s;
        self.generation += 1;
    }

    /// Takes in work of `work_s` seconds at usual speed.
    pub(crate) fn push(&mut self, work: Work, work_s: f64) {
        self.queue.push_back(Job { work, remaining_s: work_s, started_s: self.at_s });
        self.start_jobs();
    }

    /// Takes out a job that is done.
    pub(crate) fn pop_finished(&mut self) -> Option<Finished> {
        const DONE_S: f64 = 1e-9;
        let found = self.jobs.iter().position(|it| it.remaining_s <= DONE_S)?;
        let Job { work, started_s, .. } = self.jobs.swap_remove(found);
        self.start_jobs();
        Some(Finished { work, started_s })
    }

    /// Time at which the next job will be done at the present speed.
    pub(crate) fn next_completion_s(&self) -> Option<f64> {
        let least = self.jobs.iter().map(|it| it.remaining_s).reduce(f64::min)?;
        Some(self.at_s + least.max(0.0) * self.slowness())
    }

    /// The load report, as old as the server's reporting makes it.
    pub(crate) fn report(&mut self, now_s: f64) -> Report {
        self.refresh_report(now_s);
        if self.report_period_s <= 0.0 { self.current_report() } else { self.report }
    }

    fn start_jobs(&mut self) {
        while self.jobs.len() < self.slots {
            let Some(job) = self.queue.pop_front() else { return };
            self.jobs.push(Job { started_s: self.at_s, ..job });
        }
    }

    /// Takes over the state since the last change if a reporting period ended after it.
    fn refresh_report(&mut self, now_s: f64) {
        let periods = |it: f64| (it / self.report_period_s).floor();
        if self.report_period_s > 0.0 && periods(now_s) > periods(self.at_s) {
            self.report = self.current_report();
        }
    }

    fn current_report(&self) -> Report {
        let count = |it: usize| u32::try_from(it).unwrap_or(u32::MAX);
        Report { occupied: count(self.jobs.len()), queued: count(self.queue.len()) }
    }
}

/// A service time in seconds at usual speed.
pub(crate) fn draw_work_s(scenario: &Scenario, rng: &mut fastrand::Rng) -> f64 {
    let mean_s = scenario.service_ms / 1e3;
    match scenario.spread {
        Spread::Fixed => mean_s,
        Spread::Exponential => mean_s * draw_exponential(rng),
        Spread::LogNormal(sigma) => {
            let normal =
                (2.0 * draw_exponential(rng)).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
            mean_s * (sigma * normal - sigma * sigma / 2.0).exp()
        }
    }
}

/// An exponential random number of mean 1.
pub(crate) fn draw_exponential(rng: &mut fastrand::Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}

/// A random number from `least` to `most` with a uniform logarithm.
pub(crate) fn draw_log_uniform(rng: &mut fastrand::Rng, least: f64, most: f64) -> f64 {
    least * (most / least).powf(rng.f64())
}

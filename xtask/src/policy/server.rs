//! A simulated upstream: slots, a FIFO queue, and a speed that can change at any time.

use std::collections::VecDeque;

use balance::Report;

use super::scenario::{Distribution, Scenario};

/// Index of a request, or `None` for a probe.
pub(crate) type Work = Option<usize>;

/// A request or probe in the queue or in a slot.
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

/// A simulated upstream.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) domain: usize,
    /// Slowdown by noisy neighbours.
    pub(crate) noise_factor: f64,
    /// Slowdown by a fault.
    pub(crate) fault_factor: f64,
    pub(crate) is_failing_fast: bool,
    pub(crate) is_draining: bool,
    /// Requests in transit to this server. Only the oracle uses it.
    pub(crate) in_transit: u32,
    /// Counts the changes, so that outdated completion events are recognized.
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
            noise_factor: 1.0,
            fault_factor: 1.0,
            is_failing_fast: false,
            is_draining: false,
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

    /// Combined slowdown by noise and fault.
    pub(crate) fn slowdown(&self) -> f64 {
        self.noise_factor * self.fault_factor
    }

    /// Number of requests in slots, in the queue and in transit.
    fn total_jobs(&self) -> f64 {
        (self.jobs.len() + self.queue.len()) as f64 + f64::from(self.in_transit)
    }

    /// Expected time that a request with mean work takes if it arrives now and the speed stays the
    /// same.
    pub(crate) fn expected_s(&self) -> f64 {
        if self.is_draining || self.is_failing_fast {
            return f64::INFINITY;
        }
        let slots = self.slots as f64;
        let wait_factor = (self.total_jobs() + 1.0 - slots).max(0.0) / slots;
        self.mean_work_s * self.slowdown() * (1.0 + wait_factor)
    }

    /// Number of requests that wait for a slot.
    pub(crate) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Processes jobs until `now_s`. Must be called before every change.
    pub(crate) fn advance(&mut self, now_s: f64) {
        self.refresh_report(now_s);
        let done_s = (now_s - self.at_s) / self.slowdown();
        self.jobs.iter_mut().for_each(|it| it.remaining_s -= done_s);
        self.at_s = now_s;
        self.generation += 1;
    }

    /// Queues work that takes `work_s` seconds at normal speed.
    pub(crate) fn push(&mut self, work: Work, work_s: f64) {
        self.queue.push_back(Job { work, remaining_s: work_s, started_s: self.at_s });
        self.start_jobs();
    }

    /// Removes a job that is done.
    pub(crate) fn pop_finished(&mut self) -> Option<Finished> {
        const TOLERANCE_S: f64 = 1e-9;
        let found = self.jobs.iter().position(|it| it.remaining_s <= TOLERANCE_S)?;
        let Job { work, started_s, .. } = self.jobs.swap_remove(found);
        self.start_jobs();
        Some(Finished { work, started_s })
    }

    /// Time at which the next job will be done at the current speed.
    pub(crate) fn next_completion_s(&self) -> Option<f64> {
        let least = self.jobs.iter().map(|it| it.remaining_s).reduce(f64::min)?;
        Some(self.at_s + least.max(0.0) * self.slowdown())
    }

    /// The load report as of the end of the last reporting period, or the current one if the period
    /// is 0.
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

    /// Updates the report if a reporting period ended since the last change.
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

/// Draws a service time in seconds at normal speed.
pub(crate) fn draw_work_s(scenario: &Scenario, rng: &mut fastrand::Rng) -> f64 {
    let mean_s = scenario.service_ms / 1e3;
    match scenario.distribution {
        Distribution::Fixed => mean_s,
        Distribution::Exponential => mean_s * draw_exponential(rng),
        Distribution::LogNormal(sigma) => {
            let normal =
                (2.0 * draw_exponential(rng)).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
            mean_s * (sigma * normal - sigma * sigma / 2.0).exp()
        }
    }
}

/// Draws an exponentially distributed number with mean 1.
pub(crate) fn draw_exponential(rng: &mut fastrand::Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}

/// Draws a number from `least` to `most` whose logarithm is uniformly distributed.
pub(crate) fn draw_log_uniform(rng: &mut fastrand::Rng, least: f64, most: f64) -> f64 {
    least * (most / least).powf(rng.f64())
}

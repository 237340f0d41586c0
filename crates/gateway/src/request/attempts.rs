//! Attempts at upstreams: first, retry, hedge.

use std::{
    future::pending,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};

use super::{
    Refusal, Result,
    sending::{End, Landed, Sending},
};
use crate::{
    config::{Route, Table},
    decision::{Attempt, Trail},
    desk::{Demand, Desk, Flight},
    gateway::Gateway,
    http::Message,
    load::Eligibility,
    probe,
    registry::UpstreamId,
};

/// Factor of the mean work that most requests stay within.
const HEDGE_MARGIN: f64 = 1.2;
/// Factor of the mean work within which a fair part of the requests is done.
const HEDGE_CHANCE: f64 = 0.9;
/// Multiple of the mean work after which an upstream seems to have stalled.
const STALLED_WORKS: u32 = 3;
/// Connections that can't be opened, after which a request is given up.
const MAX_UNREACHABLE: u32 = 4;
/// Advice to a caller whose request was not run by any upstream that was tried.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request and what its attempts need.
pub(super) struct Job<'a> {
    /// State of the daemon.
    pub gateway: &'a Rc<Gateway>,
    /// Configuration that the request was accepted under.
    pub table: &'a Table,
    /// Service that answers.
    pub desk: &'a Rc<Desk>,
    /// Route of the request.
    pub route: &'a Route,
    /// The request.
    pub message: &'a Message,
    /// When the request was read.
    pub received: Instant,
    /// When the caller must have an answer.
    pub deadline: Instant,
}

/// State of a request with attempts in progress.
struct Course<'a, 'b> {
    job: &'b Job<'a>,
    tried: Vec<UpstreamId>,
    /// Attempts that go on, with the time of their start.
    going: Vec<(UpstreamId, Instant)>,
    sent: u32,
    unreachable: u32,
    may_have_run: bool,
    failed: Option<Message>,
}

/// Tries upstreams until one answers.
///
/// # Errors
///
/// The refusal for the caller; it promises that nothing ran only if that is so.
pub(super) async fn run(job: &Job<'_>, trail: &mut Trail) -> Result<Message> {
    let mut course = Course {
        job,
        tried: Vec::new(),
        going: Vec::new(),
        sent: 0,
        unreachable: 0,
        may_have_run: false,
        failed: None,
    };
    let mut running = FuturesUnordered::new();
    let first = course.admit().await?;
    trail.waited = job.gateway.now().saturating_duration_since(trail.received);
    running.push(course.send(first, "first"));
    let mut hedge_at = course.hedge_at();
    loop {
        let hedge = async {
            match hedge_at {
                Some(it) => tokio::time::sleep_until(it.into()).await,
                None => pending().await,
            }
        };
        let landed = tokio::select! {
            biased;
            Some(it) = running.next() => it,
            () = tokio::time::sleep_until(job.deadline.into()) => {
                trail.attempts.extend(course.unfinished("unanswered"));
                return course.time_out(running.len());
            }
            () = hedge => {
                hedge_at = None;
                if let Some(flight) = course.hedge().await {
                    running.push(course.send(flight, "hedge"));
                }
                continue;
            }
        };
        course.going.retain(|(id, _)| *id != landed.record.upstream);
        trail.attempts.push(landed.record);
        if let Some(res) = course.land(landed.end, running.len()).await {
            match res {
                Ok(Step::Done(it)) => {
                    trail.attempts.extend(course.unfinished("cancelled"));
                    return Ok(it);
                }
                Ok(Step::Again(flight)) => running.push(course.send(flight, "retry")),
                Err(it) => return Err(it),
            }
        }
    }
}

/// What follows on an attempt that has ended.
enum Step {
    /// The caller's answer.
    Done(Message),
    /// Another attempt.
    Again(Flight),
}

impl<'a> Course<'a, '_> {
    fn now(&self) -> Instant {
        self.job.gateway.now()
    }

    fn demand(&self) -> Demand<'_> {
        let Job { route, received, deadline, .. } = *self.job;
        Demand { route, tried: &self.tried, received, deadline }
    }

    /// Waits for an upstream that can take the request.
    async fn admit(&self) -> Result<Flight> {
        let Job { gateway, table, desk, route, .. } = *self.job;
        if desk.queued() == 0 {
            let eligibility = probe::refresh(gateway, table, desk, &route.id, &self.tried).await;
            if let Some(it) = desk.take_now(self.now(), &self.demand(), eligibility) {
                return Ok(it);
            }
        }
        desk.wait(self.now(), &self.demand()).await.map_err(Refusal::from)
    }

    /// When a second upstream is asked: as late as it can still answer within the target, since
    /// until then the first one most often has.
    fn hedge_at(&self) -> Option<Instant> {
        let Job { desk, route, received, .. } = *self.job;
        if !route.kind.is_idempotent() || route.attempt_limit <= self.sent.max(1) {
            return None;
        }
        let now = self.now();
        let target = received + route.target_latency;
        let service_time = desk.service.borrow().service_time(&route.id);
        let earliest = now + service_time.mul_f64(HEDGE_MARGIN);
        let latest = target.checked_sub(service_time.mul_f64(HEDGE_MARGIN));
        let ideal = latest.map_or(earliest, |it| it.max(earliest));
        let is_useful = ideal + service_time.mul_f64(HEDGE_CHANCE) <= target;
        Some(if is_useful { ideal } else { now + service_time * STALLED_WORKS })
    }

    /// A second upstream, if the budget and the load allow it.
    async fn hedge(&self) -> Option<Flight> {
        let Job { gateway, table, desk, route, .. } = *self.job;
        if self.sent >= route.attempt_limit {
            return None;
        }
        probe::refresh(gateway, table, desk, &route.id, &self.tried).await;
        let flight = desk.take_now(self.now(), &self.demand(), Eligibility::Normal)?;
        // A flight that is dropped gives its place free.
        desk.budget.borrow_mut().try_hedge(self.now()).then_some(flight)
    }

    /// Starts an attempt.
    fn send(&mut self, flight: Flight, cause: &'static str) -> LocalBoxFuture<'a, Landed> {
        self.tried.push(flight.upstream().id.clone());
        self.going.push((flight.upstream().id.clone(), flight.started()));
        self.sent += 1;
        let Job { gateway, desk, route, message, deadline, .. } = *self.job;
        gateway.metrics.attempt(&desk.id, cause);
        let sending = Sending { gateway, desk, route, message, deadline };
        Box::pin(sending.run(flight))
    }

    /// Decides what follows on an attempt that has ended, while `others` go on; none to wait for them.
    async fn land(&mut self, end: End, others: usize) -> Option<Result<Step>> {
        let route = self.job.route;
        let message = match end {
            End::Answer(it) if it.head.status < 500 || !route.kind.is_idempotent() => {
                return Some(Ok(Step::Done(it)));
            }
            End::Answer(it) => {
                self.may_have_run = true;
                self.failed = Some(it);
                String::new()
            }
            End::NotRun { message, sent } => {
                if !sent {
                    self.sent -= 1;
                    self.unreachable += 1;
                }
                message
            }
            End::Unknown(message) => {
                self.may_have_run = true;
                if !route.kind.is_idempotent() {
                    return Some(Err(Refusal::failed(message)));
                }
                message
            }
        };
        if others > 0 {
            return None;
        }
        if self.may_try_again() {
            match self.admit().await {
                Ok(it) => return Some(Ok(Step::Again(it))),
                Err(it) if !self.may_have_run => return Some(Err(it)),
                Err(_) => {}
            }
        }
        Some(self.give_up(message).map(Step::Done))
    }

    /// Whether another attempt is allowed; one that was never sent costs nothing of the budget.
    fn may_try_again(&self) -> bool {
        if self.sent >= self.job.route.attempt_limit || self.unreachable >= MAX_UNREACHABLE {
            return false;
        }
        self.sent == 0 || self.job.desk.budget.borrow_mut().try_retry(self.now())
    }

    fn give_up(&mut self, message: String) -> Result<Message> {
        match self.failed.take() {
            Some(it) => Ok(it),
            None if self.may_have_run => Err(Refusal::failed(message)),
            None => Err(Refusal::not_run("upstreams-refused", message, REFUSED_RETRY_AFTER)),
        }
    }

    fn time_out(&mut self, in_progress: usize) -> Result<Message> {
        match self.failed.take() {
            Some(it) => Ok(it),
            None if self.may_have_run || in_progress > 0 => Err(Refusal::late()),
            None => Err(desk_late()),
        }
    }

    /// Records of the attempts that go on when the request ends.
    fn unfinished(&self, result: &str) -> Vec<Attempt> {
        let now = self.now();
        let record = |(id, sent): &(UpstreamId, Instant)| Attempt {
            upstream: id.clone(),
            report_age: None,
            pace: None,
            result: result.to_owned(),
            took: now.saturating_duration_since(*sent),
        };
        self.going.iter().map(record).collect()
    }
}

fn desk_late() -> Refusal {
    let message = "the request was not run before its deadline".to_owned();
    Refusal::not_run("deadline", message, REFUSED_RETRY_AFTER)
}

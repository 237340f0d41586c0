//! Attempts at upstreams: first, retry, hedge.

use std::{
    future::pending,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};

use super::{Refusal, Result};
use crate::{
    config::{Route, Table},
    decision::{Attempt, Trail},
    desk::{Demand, Desk, Flight},
    gateway::Gateway,
    http::{self, Message},
    load::{self, Care, Outcome},
    probe,
    registry::UpstreamId,
    upstream::{Exchange, Failure},
};

/// Idle time after which a connection isn't used for a request that must not run twice: the
/// upstream may just be closing it, and then nobody could tell whether the request has run.
const FRESH_LINK: Duration = Duration::from_secs(1);
/// Idle time after which a connection isn't used for any request.
const USABLE_LINK: Duration = Duration::from_secs(8);
/// Longest time to open a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
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

/// How an attempt ended.
enum End {
    /// An answer that the upstream made itself.
    Answer(Message),
    /// The request was not run there; `sent` if the upstream was given it.
    NotRun { message: String, sent: bool },
    /// The request may have run and no whole answer came.
    Unknown(String),
}

struct Landed {
    end: End,
    record: Attempt,
}

/// State of a request with attempts in progress.
struct Course<'a, 'b> {
    job: &'b Job<'a>,
    tried: Vec<UpstreamId>,
    /// Attempts with the time of their start.
    going: Vec<(UpstreamId, Instant)>,
    ended: Vec<UpstreamId>,
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
        ended: Vec::new(),
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
                trail.attempts.extend(course.unfinished(running.len(), "unanswered"));
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
        course.ended.push(landed.record.upstream.clone());
        trail.attempts.push(landed.record);
        if let Some(res) = course.land(landed.end, running.len()).await {
            match res {
                Ok(Step::Done(it)) => {
                    trail.attempts.extend(course.unfinished(running.len(), "cancelled"));
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
            let care = probe::refresh(gateway, table, desk, &route.id, &self.tried).await;
            if let Some(it) = desk.take_now(self.now(), &self.demand(), care) {
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
        let work = desk.service.borrow().work(&route.id);
        let earliest = now + work.mul_f64(HEDGE_MARGIN);
        let latest = target.checked_sub(work.mul_f64(HEDGE_MARGIN));
        let ideal = latest.map_or(earliest, |it| it.max(earliest));
        let is_useful = ideal + work.mul_f64(HEDGE_CHANCE) <= target;
        Some(if is_useful { ideal } else { now + work * STALLED_WORKS })
    }

    /// A second upstream, if the budget and the load allow it.
    async fn hedge(&self) -> Option<Flight> {
        let Job { gateway, table, desk, route, .. } = *self.job;
        if self.sent >= route.attempt_limit {
            return None;
        }
        probe::refresh(gateway, table, desk, &route.id, &self.tried).await;
        let flight = desk.take_now(self.now(), &self.demand(), Care::Undisturbed)?;
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
    fn unfinished(&self, count: usize, result: &str) -> Vec<Attempt> {
        let now = self.now();
        let record = |(id, sent): &(UpstreamId, Instant)| Attempt {
            upstream: id.clone(),
            report_age: None,
            pace: None,
            result: result.to_owned(),
            took: now.saturating_duration_since(*sent),
        };
        let going = self.going.iter().filter(|(id, _)| !self.ended.contains(id));
        going.take(count).map(record).collect()
    }
}

fn desk_late() -> Refusal {
    let message = "the request was not run before its deadline".to_owned();
    Refusal::not_run("deadline", message, REFUSED_RETRY_AFTER)
}

/// One attempt.
struct Sending<'a> {
    gateway: &'a Rc<Gateway>,
    desk: &'a Rc<Desk>,
    route: &'a Route,
    message: &'a Message,
    deadline: Instant,
}

impl Sending<'_> {
    async fn run(self, flight: Flight) -> Landed {
        let id = flight.upstream().id.clone();
        let started = flight.started();
        let (report_age, pace) = self.known(&id, started);
        let end = self.exchange(&flight).await;
        let now = self.gateway.now();
        let took = now.saturating_duration_since(started);
        let (outcome, result) = judge(&end);
        if outcome == Outcome::Success {
            let mut service = self.desk.service.borrow_mut();
            service.answered(&id, flight.serial(), &self.route.id, took);
        }
        flight.land(now, outcome);
        Landed { end, record: Attempt { upstream: id, report_age, pace, result, took } }
    }

    fn known(&self, id: &str, at: Instant) -> (Option<Duration>, Option<f64>) {
        let service = self.desk.service.borrow();
        let upstream = service.get(id);
        (
            upstream.and_then(|it| it.report_age(at)),
            upstream.and_then(load::Upstream::reported_pace),
        )
    }

    async fn exchange(&self, flight: &Flight) -> End {
        let upstream = flight.upstream();
        let gateway = self.gateway;
        let reuse = if self.route.kind.is_idempotent() { USABLE_LINK } else { FRESH_LINK };
        let connect = CONNECT_TIMEOUT.min(self.deadline.saturating_duration_since(gateway.now()));
        let taking =
            gateway.pool.take(&upstream.id, upstream.address, gateway.now(), reuse, connect);
        let link = match taking.await {
            Ok(it) => it,
            Err(e) => return not_sent(format!("no connection: {e}")),
        };
        // The upstream may have begun to leave while the connection was opened.
        if !flight.is_open() {
            return not_sent("the upstream leaves".to_owned());
        }
        let left = self.deadline.saturating_duration_since(gateway.now()).as_millis();
        if left == 0 {
            return not_sent("no time left".to_owned());
        }
        let names = gateway.dialect.names;
        let left = left.to_string();
        let extra = [(names.deadline_ms, &*left), (names.expected_instance, &*upstream.id)];
        let bytes = http::request(self.message, &extra);
        let exchange = Exchange {
            bytes: &bytes,
            method: &self.message.head.method,
            id_name: names.request_id,
            id: self.message.head.get(names.request_id),
        };
        match exchange.run(link).await {
            Ok(it) => {
                self.report(&upstream.id, &it.message);
                let idle = self.desk.idle_limit();
                gateway.pool.put(&upstream.id, gateway.now(), it.link, it.keep_time, idle);
                self.classify(it.message)
            }
            Err(Failure::NotSent(it)) => not_sent(it),
            Err(e) => End::Unknown(e.to_string()),
        }
    }

    fn report(&self, id: &UpstreamId, answer: &Message) {
        let load = answer.head.get(self.gateway.dialect.names.load);
        let mut service = self.desk.service.borrow_mut();
        match load.and_then(|it| (self.gateway.dialect.parse_load)(it)) {
            Some(it) => service.report(self.gateway.now(), id, it),
            None => service.not_reported(),
        }
    }

    fn classify(&self, answer: Message) -> End {
        let names = &self.gateway.dialect.names;
        let head = &answer.head;
        if head.status == 421 || head.get(names.not_run).is_some() {
            return End::NotRun { message: format!("refused with {}", head.status), sent: true };
        }
        if (200..300).contains(&head.status) && head.get(names.signature).is_none() {
            return End::Unknown("a success without the upstream's signature".to_owned());
        }
        End::Answer(answer)
    }
}

fn not_sent(message: String) -> End {
    End::NotRun { message, sent: false }
}

fn judge(end: &End) -> (Outcome, String) {
    match end {
        End::Answer(it) if it.head.status < 500 => (Outcome::Success, it.head.status.to_string()),
        End::Answer(it) => (Outcome::Failure, it.head.status.to_string()),
        End::NotRun { message, sent } => {
            let outcome = if *sent { Outcome::Refused } else { Outcome::Failure };
            (outcome, message.replace(' ', "-"))
        }
        End::Unknown(message) => (Outcome::Failure, message.replace(' ', "-")),
    }
}

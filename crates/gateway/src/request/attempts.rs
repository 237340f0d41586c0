//! Attempts at upstreams: first, retry, hedge.

use std::{
    future::pending,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};

use super::{
    Admission, Refusal, Result,
    forward::{End, Finished, Forward},
};
use crate::{
    config::Route,
    decision::{Attempt, Trace},
    dispatcher::{Dispatcher, Request, Reservation},
    gateway::Gateway,
    http::Message,
    load::Eligibility,
    probe,
    registry::UpstreamId,
    stop,
};

/// Factor of the mean service time within which most requests complete.
const HEDGE_MARGIN: f64 = 1.2;
/// Factor of the mean service time within which a sufficient share of requests completes.
const HEDGE_MIN_FACTOR: f64 = 0.9;
/// Multiple of the mean service time after which an upstream is assumed to be stalled.
const STALLED_FACTOR: u32 = 3;
/// Number of attempts that could not be sent after which a request is given up.
const MAX_NOT_SENT: u32 = 4;
/// `Retry-After` for a request that no upstream has run.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request and what its attempts need.
pub(super) struct Context<'a> {
    /// State of the daemon.
    pub gateway: &'a Rc<Gateway>,
    /// Route and tenant under which the request was accepted.
    pub admission: &'a Admission,
    /// Dispatcher of the service that answers.
    pub dispatcher: &'a Rc<Dispatcher>,
    /// Route of the request.
    pub route: &'a Route,
    /// The request.
    pub message: &'a Message,
    /// When the request was read.
    pub received: Instant,
    /// When the caller must have an answer.
    pub deadline: Instant,
    /// What a planned stop needs to know of the request.
    pub work: stop::Work,
}

impl Context<'_> {
    /// Whether a planned stop leaves time for another attempt.
    fn may_start(&self) -> bool {
        let schedule = self.gateway.stop.schedule();
        schedule.is_none_or(|it| it.accepts(self.gateway.now(), &self.work))
    }

    /// Waits until a planned stop leaves no time for another attempt.
    async fn last_start(&self) {
        let schedule = self.gateway.stop.begun().await;
        if let Some(it) = schedule.latest_start(&self.work) {
            tokio::time::sleep_until(it.into()).await;
        }
    }
}

/// Attempts made for a request so far. Those still in progress when it is dropped are recorded in the
/// trace.
struct Progress<'a, 'b> {
    context: &'b Context<'a>,
    trace: &'b mut Trace,
    /// How attempts end that are in progress when this is dropped.
    end: &'static str,
    tried: Vec<UpstreamId>,
    /// Attempts in progress, with the times of their start.
    active: Vec<(UpstreamId, Instant)>,
    sent: u32,
    not_sent: u32,
    may_have_run: bool,
    error_answer: Option<Message>,
}

/// Tries upstreams until one answers.
///
/// # Errors
///
/// The refusal for the caller; it promises that the request has not run only if no attempt can have
/// run.
pub(super) async fn run(context: &Context<'_>, trace: &mut Trace) -> Result<Message> {
    let mut progress = Progress {
        context,
        trace,
        end: "caller-left",
        tried: Vec::new(),
        active: Vec::new(),
        sent: 0,
        not_sent: 0,
        may_have_run: false,
        error_answer: None,
    };
    let mut running = FuturesUnordered::new();
    let first = progress.admit().await?;
    progress.trace.waited = context.gateway.now().saturating_duration_since(context.received);
    running.push(progress.send(first, "first"));
    let mut hedge_at = progress.hedge_at();
    loop {
        let hedge = async {
            match hedge_at {
                Some(it) => tokio::time::sleep_until(it.into()).await,
                None => pending().await,
            }
        };
        let finished = tokio::select! {
            biased;
            Some(it) = running.next() => it,
            () = tokio::time::sleep_until(context.deadline.into()) => {
                progress.end = "unanswered";
                return progress.give_up_running(running.len(), Refusal::upstream_late());
            }
            () = context.gateway.stop.requests_ended() => {
                progress.end = "stopped";
                return progress.give_up_running(running.len(), Refusal::stopped());
            }
            () = hedge => {
                hedge_at = None;
                if let Some(reservation) = progress.hedge().await {
                    running.push(progress.send(reservation, "hedge"));
                }
                continue;
            }
        };
        progress.active.retain(|(id, _)| *id != finished.record.upstream);
        progress.trace.attempts.push(finished.record);
        if let Some(res) = progress.handle_end(finished.end, running.len()).await {
            match res {
                Ok(Next::Answer(it)) => {
                    progress.end = "cancelled";
                    return Ok(it);
                }
                Ok(Next::Retry(reservation)) => running.push(progress.send(reservation, "retry")),
                Err(it) => return Err(it),
            }
        }
    }
}

/// What follows when an attempt has ended.
enum Next {
    /// The caller's answer.
    Answer(Message),
    /// Another attempt.
    Retry(Reservation),
}

impl<'a> Progress<'a, '_> {
    fn now(&self) -> Instant {
        self.context.gateway.now()
    }

    fn request(&self) -> Request<'_> {
        let Context { admission, route, received, deadline, .. } = *self.context;
        Request {
            route,
            priority: admission.priority(),
            tenant: admission.tenant.as_ref().map(|it| it.id.clone()),
            domains: admission.domains.clone(),
            tried: &self.tried,
            received,
            deadline,
            time_limit: self.trace.time_left,
        }
    }

    /// Waits for an upstream that can take the request.
    async fn admit(&self) -> Result<Reservation> {
        let reservation = tokio::select! {
            biased;
            it = self.reserve() => it?,
            () = self.context.last_start() => return Err(Refusal::leaving()),
        };
        if self.context.may_start() { Ok(reservation) } else { Err(Refusal::leaving()) }
    }

    async fn reserve(&self) -> Result<Reservation> {
        let Context { gateway, dispatcher, route, .. } = *self.context;
        if dispatcher.queue_len() == 0 {
            let eligibility = self.refresh().await;
            if let Some(it) = dispatcher.try_reserve(self.now(), &self.request(), eligibility) {
                return Ok(it);
            }
        }
        let since = self.now();
        let res = dispatcher.wait(since, &self.request()).await;
        let reason = res.as_ref().err().map_or("", |it| it.reason);
        gateway.metrics.waited(&route.id, reason, self.now().saturating_duration_since(since));
        res.map_err(Refusal::from)
    }

    /// Probes upstreams that the request may be sent to, if their condition is unknown.
    async fn refresh(&self) -> Eligibility {
        let Context { gateway, admission, dispatcher, route, .. } = *self.context;
        let Admission { table, domains, .. } = admission;
        probe::refresh(gateway, table, dispatcher, &route.id, &self.tried, domains).await
    }

    /// When to send a hedge: as late as it can still be answered within the target, since most
    /// first attempts complete before that.
    fn hedge_at(&self) -> Option<Instant> {
        let Context { dispatcher, route, received, .. } = *self.context;
        if !route.idempotence.is_idempotent() || route.attempt_limit <= self.sent.max(1) {
            return None;
        }
        let now = self.now();
        let target = received + route.target_latency;
        let service_time = dispatcher.service.borrow().service_time(&route.id);
        let earliest = now + service_time.mul_f64(HEDGE_MARGIN);
        let latest = target.checked_sub(service_time.mul_f64(HEDGE_MARGIN));
        let ideal = latest.map_or(earliest, |it| it.max(earliest));
        let is_useful = ideal + service_time.mul_f64(HEDGE_MIN_FACTOR) <= target;
        Some(if is_useful { ideal } else { now + service_time * STALLED_FACTOR })
    }

    /// Reserves an upstream for a hedge if budget and load allow it.
    async fn hedge(&self) -> Option<Reservation> {
        let Context { dispatcher, route, .. } = *self.context;
        if self.sent >= route.attempt_limit || !self.context.may_start() {
            return None;
        }
        self.refresh().await;
        let reservation =
            dispatcher.try_reserve(self.now(), &self.request(), Eligibility::Normal)?;
        // If the budget is exhausted, dropping the reservation releases it.
        dispatcher.budget.borrow_mut().try_hedge(self.now()).then_some(reservation)
    }

    /// Starts an attempt.
    fn send(
        &mut self,
        reservation: Reservation,
        cause: &'static str,
    ) -> LocalBoxFuture<'a, Finished> {
        let may_have_run = self.may_have_run || !self.active.is_empty();
        self.tried.push(reservation.upstream().id.clone());
        self.active.push((reservation.upstream().id.clone(), reservation.started()));
        self.sent += 1;
        let Context { gateway, admission, dispatcher, route, message, received, deadline, .. } =
            *self.context;
        gateway.metrics.attempt(&dispatcher.id, cause);
        let forward = Forward {
            gateway,
            admission,
            dispatcher,
            route,
            message,
            received,
            deadline,
            may_have_run,
        };
        Box::pin(forward.run(reservation))
    }

    /// Decides what follows when an attempt has ended. Returns `None` if the attempt failed and
    /// `others`, the number of attempts in progress, is not 0, since one of them may still answer.
    async fn handle_end(&mut self, end: End, others: usize) -> Option<Result<Next>> {
        let route = self.context.route;
        let message = match end {
            End::Answer(it) if it.head.status < 500 || !route.idempotence.is_idempotent() => {
                return Some(Ok(Next::Answer(it)));
            }
            End::Answer(it) => {
                self.may_have_run = true;
                self.error_answer = Some(it);
                String::new()
            }
            End::NotRun { message, sent } => {
                if !sent {
                    self.sent -= 1;
                    self.not_sent += 1;
                }
                message
            }
            End::Refused(refusal) => {
                self.sent -= 1;
                // Another attempt would be refused for the same reason.
                return match (others, self.may_have_run) {
                    (1.., _) => None,
                    (0, true) => Some(self.give_up(refusal.message).map(Next::Answer)),
                    (0, false) => Some(Err(refusal)),
                };
            }
            End::Unknown(message) => {
                self.may_have_run = true;
                if !route.idempotence.is_idempotent() {
                    return Some(Err(Refusal::upstream_failed(message)));
                }
                message
            }
        };
        if others > 0 {
            return None;
        }
        if self.may_retry() {
            match self.admit().await {
                Ok(it) => return Some(Ok(Next::Retry(it))),
                Err(it) if !self.may_have_run => return Some(Err(it)),
                Err(_) => {}
            }
        }
        Some(self.give_up(message).map(Next::Answer))
    }

    /// Whether another attempt is allowed. It takes from the retry budget only if an attempt was
    /// sent before.
    fn may_retry(&self) -> bool {
        if self.sent >= self.context.route.attempt_limit || self.not_sent >= MAX_NOT_SENT {
            return false;
        }
        self.sent == 0 || self.context.dispatcher.budget.borrow_mut().try_retry(self.now())
    }

    fn give_up(&mut self, message: String) -> Result<Message> {
        match self.error_answer.take() {
            Some(it) => Ok(it),
            None if self.may_have_run => Err(Refusal::upstream_failed(message)),
            None => Err(Refusal::not_run("upstreams-refused", message, REFUSED_RETRY_AFTER)),
        }
    }

    /// Gives up with `in_progress` attempts in progress; `refusal` is the reason if one of them may
    /// have run.
    fn give_up_running(&mut self, in_progress: usize, refusal: Refusal) -> Result<Message> {
        match self.error_answer.take() {
            Some(it) => Ok(it),
            None if self.may_have_run || in_progress > 0 => Err(refusal),
            None => Err(deadline_passed()),
        }
    }
}

impl Drop for Progress<'_, '_> {
    fn drop(&mut self) {
        let now = self.now();
        let record = |(id, sent): (UpstreamId, Instant)| Attempt {
            upstream: id,
            report_age: None,
            pace: None,
            at: sent.saturating_duration_since(self.context.received),
            result: self.end.to_owned(),
            took: now.saturating_duration_since(sent),
        };
        let records: Vec<_> = std::mem::take(&mut self.active).into_iter().map(record).collect();
        self.trace.attempts.extend(records);
    }
}

fn deadline_passed() -> Refusal {
    let message = "the request was not run before its deadline".to_owned();
    Refusal::not_run("deadline", message, REFUSED_RETRY_AFTER)
}

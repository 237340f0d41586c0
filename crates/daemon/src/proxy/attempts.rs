//! Admission, attempts and retries of one request.

use std::{sync::Arc, time::Duration};

use balance::UpstreamId;
use hyper::StatusCode;

use crate::{
    caller::{
        header,
        reply::{Outcome, Refusal},
    },
    decision::{Attempt as Record, micros},
    orders::Guard,
    proxy::{Draft, Plan, Result, hedge},
    service::{InFlight, Permit},
    state::State,
    upstream::{
        attempt::{self, Answer, Attempt, Message},
        pool::Reuse,
    },
};

/// Maximum number of attempts for one request.
const ATTEMPT_LIMIT: usize = 3;

/// Waits for a slot and tries upstreams until one answers.
///
/// # Errors
///
/// Returns the refusal for the caller. Its outcome is `not-run` only if no attempt can have reached
/// a backend server's handler.
pub async fn run(
    state: &Arc<State>,
    plan: &Plan,
    message: &Message,
    draft: &mut Draft,
) -> Result<Answer> {
    let mut permit = admit(state, plan, draft).await?;
    let mut tried: Vec<UpstreamId> = Vec::new();
    let mut outcome = Outcome::NotRun;
    loop {
        let deadline = plan.deadline.at();
        let chosen = plan.route.service.choose(&tried, deadline).await;
        let in_flight = chosen.map_err(|it| no_upstream_refusal(it, outcome))?;
        tried.push(Arc::clone(in_flight.upstream()));
        let Finished { record, took, may_have_run, res } =
            send_or_hedge(state, plan, message, in_flight, &mut tried).await;
        draft.add_attempt(record);
        let failure = match res {
            Ok(it) if it.status.is_server_error() && may_retry_answer(state, plan, &tried) => {
                outcome = Outcome::Unknown;
                continue;
            }
            Ok(it) => {
                record_success(plan, &mut permit, took, &it);
                return Ok(it);
            }
            Err(it) => it,
        };
        if may_have_run {
            outcome = Outcome::Unknown;
        }
        let is_safe = failure.is_not_run() || plan.route.config.idempotent;
        if !is_safe
            || state.clock.now() >= deadline
            || !may_retry_failure(state, plan, &failure, &tried)
        {
            return Err(failure_refusal(&failure, outcome));
        }
    }
}

async fn admit(state: &State, plan: &Plan, draft: &mut Draft) -> Result<Permit> {
    let offered = state.clock.now();
    let request = admission::Request {
        id: plan.id.number,
        rank: Arc::clone(&plan.route.config.rank),
        caller: Arc::clone(&plan.caller),
        deadline: plan.deadline.at(),
        expected: plan.route.expected(),
    };
    let admitted = plan.route.service.admit(request).await;
    draft.set_queue_time(state.clock.now().saturating_duration_since(offered));
    admitted.map_err(admission_refusal)
}

/// A finished attempt.
pub struct Finished {
    record: Record,
    took: Duration,
    may_have_run: bool,
    res: attempt::Result<Answer>,
}

impl Finished {
    /// Merges the result of `other`, an attempt of the same request that failed earlier.
    #[must_use]
    pub fn with_earlier(mut self, other: &Self) -> Self {
        self.may_have_run |= other.may_have_run;
        self
    }

    /// Whether there is an answer without a server error.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.res.as_ref().is_ok_and(|it| !it.status.is_server_error())
    }
}

/// Sends the message to one upstream. Urgent work that takes unusually long is hedged at another.
async fn send_or_hedge(
    state: &State,
    plan: &Plan,
    message: &Message,
    in_flight: InFlight,
    tried: &mut Vec<UpstreamId>,
) -> Finished {
    let delay = hedge::delay(in_flight.chosen.expected);
    let first = send(state, plan, message, in_flight, tried.len());
    if !plan.route.may_hedge {
        return first.await;
    }
    let second = || {
        if !plan.route.service.retries().try_hedge(state.clock.now()) {
            return None;
        }
        let in_flight = plan.route.service.choose_now(tried)?;
        tried.push(Arc::clone(in_flight.upstream()));
        Some(send(state, plan, message, in_flight, tried.len()))
    };
    hedge::race(first, delay, second).await
}

/// Sends the message to one upstream and reports the result to the balancer.
async fn send(
    state: &State,
    plan: &Plan,
    message: &Message,
    in_flight: InFlight,
    number: usize,
) -> Finished {
    let upstream = in_flight.upstream().to_string();
    let reason = in_flight.reason();
    let started = state.clock.now();
    let res = exchange(state, plan, message, in_flight, number).await;
    let took = state.clock.now().saturating_duration_since(started);
    let record = Record { upstream, reason, result: describe(&res), took_us: micros(took) };
    let may_have_run = res.as_ref().err().is_none_or(|it| !it.is_not_run());
    Finished { record, took, may_have_run, res }
}

async fn exchange(
    state: &State,
    plan: &Plan,
    message: &Message,
    in_flight: InFlight,
    number: usize,
) -> attempt::Result<Answer> {
    let Some(pool) = plan.route.service.pool(in_flight.upstream()) else {
        return Err(attempt::Error::NotSent("the upstream was removed".into()));
    };
    let attempt = Attempt {
        clock: &*state.clock,
        pool: &pool,
        id: format!("{}.{number}", plan.id),
        reuse: if plan.route.config.idempotent { Reuse::Idle } else { Reuse::Fresh },
        answer_limit: plan.limits.answer_limit_bytes,
        budget: &state.answer_memory,
        deadline: plan.deadline.at(),
        guard: guard(state, plan),
    };
    let started = state.clock.now();
    let res = attempt.run(message).await;
    let latency = state.clock.now().saturating_duration_since(started);
    if matches!(res, Err(attempt::Error::Leaving)) {
        plan.route.service.report_leaving(in_flight.upstream());
    }
    in_flight.finish(balance::Completion {
        outcome: balancer_outcome(&res),
        latency,
        report: report(&res),
    });
    res
}

/// Returns the guard of an order with a key.
fn guard(state: &State, plan: &Plan) -> Option<Guard> {
    let driver = Arc::clone(state.orders()?);
    plan.order.map(|key| Guard::new(driver, key))
}

fn balancer_outcome(res: &attempt::Result<Answer>) -> balance::Outcome {
    match res {
        Ok(it) if it.status == StatusCode::SERVICE_UNAVAILABLE => balance::Outcome::Overload,
        Ok(it) if it.status.is_server_error() => balance::Outcome::Failure,
        Ok(_) => balance::Outcome::Success,
        Err(attempt::Error::Shed) => balance::Outcome::Overload,
        Err(attempt::Error::NotSent(_)) => balance::Outcome::NotSent,
        Err(attempt::Error::Leaving) => balance::Outcome::Cancelled,
        Err(_) => balance::Outcome::Failure,
    }
}

fn report(res: &attempt::Result<Answer>) -> Option<balance::Report> {
    let answer = res.as_ref().ok()?;
    crate::upstream::load::parse(answer.headers.get(header::LOAD)?.to_str().ok()?)
}

fn describe(res: &attempt::Result<Answer>) -> String {
    match res {
        Ok(it) => it.status.as_u16().to_string(),
        Err(e) => e.to_string(),
    }
}

fn record_success(plan: &Plan, permit: &mut Permit, took: Duration, answer: &Answer) {
    permit.set_service_time(took);
    if !answer.status.is_server_error() {
        plan.route.record_service_time(took);
        plan.route.service.retries().record_success();
    }
}

/// Whether an answer with a server error may be discarded for a retry.
fn may_retry_answer(state: &State, plan: &Plan, tried: &[UpstreamId]) -> bool {
    plan.route.config.idempotent && tried.len() < ATTEMPT_LIMIT && take_retry(state, plan)
}

/// Whether a failed attempt may be retried. An unreachable or leaving upstream was given no work,
/// so a retry after it takes nothing from the retry budget.
fn may_retry_failure(
    state: &State,
    plan: &Plan,
    failure: &attempt::Error,
    tried: &[UpstreamId],
) -> bool {
    if tried.len() >= ATTEMPT_LIMIT {
        return false;
    }
    matches!(failure, attempt::Error::NotSent(_) | attempt::Error::Leaving)
        || take_retry(state, plan)
}

fn take_retry(state: &State, plan: &Plan) -> bool {
    plan.route.service.retries().try_retry(state.clock.now())
}

fn admission_refusal(it: admission::Refusal) -> Refusal {
    let (status, reason, message) = match it.reason {
        admission::Reason::Deadline => {
            (StatusCode::SERVICE_UNAVAILABLE, "deadline", "can't be answered before its deadline")
        }
        admission::Reason::QueueFull => {
            (StatusCode::SERVICE_UNAVAILABLE, "queue-full", "too many requests wait already")
        }
        admission::Reason::UnknownRank | admission::Reason::DuplicateId => {
            (StatusCode::INTERNAL_SERVER_ERROR, "internal", "the route's rank isn't in force")
        }
    };
    Refusal {
        status,
        reason,
        message: message.into(),
        retry_after: it.retry_after,
        ..Refusal::default()
    }
}

fn no_upstream_refusal(it: balance::Refusal, outcome: Outcome) -> Refusal {
    Refusal {
        outcome,
        reason: "no-upstream",
        message: it.to_string(),
        retry_after: it.retry_after,
        ..Refusal::default()
    }
}

fn failure_refusal(failure: &attempt::Error, outcome: Outcome) -> Refusal {
    let (status, reason) = match failure {
        attempt::Error::Timeout => (StatusCode::GATEWAY_TIMEOUT, "upstream-late"),
        attempt::Error::NotSent(_) => (StatusCode::SERVICE_UNAVAILABLE, "upstream-unreachable"),
        attempt::Error::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "upstream-leaving"),
        attempt::Error::Shed => (StatusCode::SERVICE_UNAVAILABLE, "upstream-shed"),
        attempt::Error::TooLarge(_) => (StatusCode::BAD_GATEWAY, "answer-too-large"),
        attempt::Error::Broken(_) => (StatusCode::BAD_GATEWAY, "answer-broken"),
        attempt::Error::Mismatched => (StatusCode::BAD_GATEWAY, "answer-swapped"),
    };
    Refusal { status, outcome, reason, message: failure.to_string(), ..Refusal::default() }
}

//! Handling of an order: submission to the engine, then execution or a reply with the outcome.

use std::{net::SocketAddr, sync::Arc};

use hyper::HeaderMap;
use order::{Event, Fingerprint, Key, Outcome, Reason, Submission};

use super::{Driver, Message, driver::Verdict, message, reply};
use crate::{
    caller::{
        header,
        reply::{Outcome as CallerOutcome, Refusal},
    },
    proxy::{Draft, InProgress, Plan, Result, attempts, plan},
    state::State,
    upstream::attempt::{self, Answer},
};

/// Reads the key of an order, if it has one.
///
/// # Errors
///
/// Returns a refusal that says what is wrong with the key.
pub fn key(headers: &HeaderMap) -> Result<Option<Key>> {
    let Some(value) = headers.get(header::KEY) else { return Ok(None) };
    let text = value.to_str().unwrap_or_default();
    text.parse().map(Some).map_err(|e: order::Error| reply::bad_key(&e))
}

/// Changes the outcome `not-run` to `unknown` for an order that is refused before the engine has
/// seen it: another copy of the order may have run, here earlier or through another entry host. A
/// missing or malformed key identifies no order, so there the outcome stays.
#[must_use]
pub fn downgrade_outcome(refusal: Refusal, is_order: bool) -> Refusal {
    let names_no_order = [reply::BAD_KEY, reply::KEY_REQUIRED].contains(&refusal.reason);
    if !is_order || names_no_order || refusal.outcome != CallerOutcome::NotRun {
        return refusal;
    }
    Refusal { outcome: CallerOutcome::Unknown, ..refusal }
}

/// Runs a request that isn't idempotent: as an order if it has a key, otherwise as a
/// single request that is dispatched at most once.
///
/// # Errors
///
/// Returns the refusal for the caller.
pub async fn run(
    state: &Arc<State>,
    plan: &Plan,
    message: &attempt::Message,
    draft: &mut Draft,
) -> Result<Answer> {
    let Some(key) = plan.order else { return attempts::run(state, plan, message, draft).await };
    let Some(driver) = state.orders() else { return Err(reply::refusal(Reason::SessionUnknown)) };
    match submit(driver, plan, key, message, false).await {
        Verdict::Run => execute(state, driver, plan, key, message, draft).await,
        Verdict::Reply(outcome) => reply::answer(outcome),
    }
}

/// Runs an order that a peer forwarded, or returns its known outcome.
pub async fn answer_peer(state: &Arc<State>, order: Message) -> Outcome {
    let unreadable = Outcome::Unknown(Reason::Refused);
    let Some(driver) = state.orders() else { return Outcome::Unknown(Reason::IssuerGone) };
    let Some((head, body)) = order.request() else { return unreadable };
    let _in_progress = InProgress::new(state);
    let id = state.ids.next();
    let address = SocketAddr::from(([0, 0, 0, 0], 0));
    let planned = plan::build(&state.table(), &head, address, id, driver.now());
    let Ok(plan) = planned else { return unreadable };
    let Some(key) = plan.order else { return unreadable };
    let message = plan::message(head, body);
    let mut draft = Draft::new(state, id);
    draft.set_plan(&plan);
    match submit(driver, &plan, key, &message, true).await {
        Verdict::Run => {
            let res = execute(state, driver, &plan, key, &message, &mut draft).await;
            let outcome = outcome_of(&res);
            draft.set_reply(&res);
            outcome
        }
        Verdict::Reply(outcome) => {
            draft.set_reply(&reply::answer(outcome.clone()));
            outcome
        }
    }
}

async fn submit(
    driver: &Arc<Driver>,
    plan: &Plan,
    key: Key,
    message: &attempt::Message,
    forwarded: bool,
) -> Verdict {
    let target = message.target.to_string();
    let fingerprint = Fingerprint::of(message.method.as_str(), &target, &message.body);
    let make = |ticket| Submission {
        ticket,
        key,
        fingerprint,
        deadline: plan.deadline.at(),
        acknowledged: plan.acknowledged,
        forwarded,
    };
    let verdict = driver.submit(Message::new(plan, message), make).await;
    verdict.unwrap_or(Verdict::Reply(Outcome::Unknown(Reason::Pending)))
}

async fn execute(
    state: &Arc<State>,
    driver: &Arc<Driver>,
    plan: &Plan,
    key: Key,
    message: &attempt::Message,
    draft: &mut Draft,
) -> Result<Answer> {
    let mut running = Running { driver, key, outcome: Outcome::Unknown(Reason::Interrupted) };
    let res = attempts::run(state, plan, message, draft).await;
    running.outcome = outcome_of(&res);
    res
}

/// An order in execution. Its outcome is reported to the engine when dropped, also if the execution
/// is cancelled.
struct Running<'a> {
    driver: &'a Arc<Driver>,
    key: Key,
    outcome: Outcome,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.driver.handle(Event::Finished(self.key, self.outcome.clone()));
    }
}

fn outcome_of(res: &Result<Answer>) -> Outcome {
    match res {
        Ok(it) => Outcome::Done(order::Answer {
            status: it.status.as_u16(),
            headers: message::list(&stored_headers(&it.headers)),
            body: it.body.bytes.clone(),
        }),
        Err(it) if it.outcome == CallerOutcome::NotRun => Outcome::NotRun(Reason::Refused),
        Err(_) => Outcome::Unknown(Reason::Interrupted),
    }
}

/// Returns the headers to store for repeats, without those on load, date and framing of the body.
fn stored_headers(headers: &HeaderMap) -> HeaderMap {
    let mut res = headers.clone();
    for it in [header::LOAD, hyper::header::CONTENT_LENGTH, hyper::header::DATE] {
        res.remove(it);
    }
    res
}

/// Reads the number up to which a caller has received all outcomes of its session.
///
/// # Errors
///
/// Returns a refusal if the header is not a whole number.
pub fn acknowledged(headers: &HeaderMap) -> Result<order::Number> {
    let Some(value) = headers.get(header::ACKNOWLEDGED) else { return Ok(0) };
    let text = value.to_str().unwrap_or_default();
    text.parse().map_err(|_| reply::bad_acknowledgement())
}

//! The path of an order: through the engine, then to a backend server or back with an outcome.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::HeaderMap;
use order::{Event, Fingerprint, Key, Outcome, Reason, Submission};

use super::{Driver, Message, driver::Verdict, message, reply};
use crate::{
    caller::{
        header,
        reply::{Outcome as Told, Refusal},
    },
    path::{Busy, Draft, Plan, Result, attempts, plan},
    state::State,
    upstream::attempt::{self, Answer},
};

/// Reads the key of an order, if it has one.
///
/// # Errors
///
/// A refusal that says what is wrong with the key.
pub fn key(headers: &HeaderMap) -> Result<Option<Key>> {
    let Some(value) = headers.get(header::KEY) else { return Ok(None) };
    let text = value.to_str().unwrap_or_default();
    text.parse().map(Some).map_err(|e: order::Error| reply::bad_key(&e))
}

/// Says no more than is certain of an order that was refused before the engine saw it: a copy of it
/// may have run by way of another entry host, or a moment ago. Only a key that names no order leaves
/// nothing that could have run.
#[must_use]
pub fn soften(refusal: Refusal, is_order: bool) -> Refusal {
    let names_no_order = [reply::BAD_KEY, reply::KEY_REQUIRED].contains(&refusal.reason);
    if !is_order || names_no_order || refusal.outcome != Told::NotRun {
        return refusal;
    }
    Refusal { outcome: Told::Unknown, ..refusal }
}

/// Runs a request that isn't idempotent: as an order if it has a key, else at most once by itself.
///
/// # Errors
///
/// The refusal for the caller.
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

/// Runs an order that a peer passed on, or tells its outcome.
pub async fn answer_peer(state: &Arc<State>, order: Message) -> Outcome {
    let unreadable = Outcome::Unknown(Reason::Refused);
    let Some(driver) = state.orders() else { return Outcome::Unknown(Reason::IssuerGone) };
    let Some((head, body)) = order.request() else { return unreadable };
    let _busy = Busy::new(state);
    let id = state.ids.next();
    let nobody = SocketAddr::from(([0, 0, 0, 0], 0));
    let Ok(plan) = plan::make(state, &head, nobody, id, driver.now()) else { return unreadable };
    let Some(key) = plan.order else { return unreadable };
    let message = plan::message(head, body);
    let mut draft = Draft::new(state, id);
    draft.plan(&plan);
    match submit(driver, &plan, key, &message, true).await {
        Verdict::Run => {
            let res = execute(state, driver, &plan, key, &message, &mut draft).await;
            let outcome = outcome_of(&res);
            draft.close_with(&res);
            outcome
        }
        Verdict::Reply(outcome) => {
            draft.close_with(&reply::answer(outcome.clone()));
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

/// An order that runs; its outcome is reported however that ends.
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
            headers: message::list(&kept(&it.headers)),
            body: it.body.bytes.clone(),
        }),
        Err(it) if it.outcome == Told::NotRun => Outcome::NotRun(Reason::Refused),
        Err(_) => Outcome::Unknown(Reason::Interrupted),
    }
}

/// Headers worth keeping for a repeat: not those that tell of one moment or of the body's framing.
fn kept(headers: &HeaderMap) -> HeaderMap {
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
/// A refusal if it is no whole number.
pub fn acknowledged(headers: &HeaderMap) -> Result<order::Number> {
    let Some(value) = headers.get(header::ACKNOWLEDGED) else { return Ok(0) };
    let text = value.to_str().unwrap_or_default();
    text.parse().map_err(|_| reply::bad_acknowledgement())
}

/// Time as whole milliseconds.
pub(super) fn millis(it: Duration) -> u64 {
    u64::try_from(it.as_millis()).unwrap_or(u64::MAX)
}

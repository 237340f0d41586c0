//! Handles the requests of a backend server.

use std::{
    convert::Infallible,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{HeaderMap, HeaderValue},
};
use tokio::{sync::SemaphorePermit, time};

use super::{
    ATTEMPT_HEADER, DEADLINE_HEADER, Delivery, Faults, Intake, LOAD_HEADER, LOAD_PATH, Reply,
    SHED_HEADER, answer::Answer, connection::Reset, digest, state::State,
};

const KEY_HEADER: &str = "idempotency-key";

type Result<T, E = Response<Answer>> = std::result::Result<T, E>;

/// Answers one request. The server drops the future if the client closes the connection.
pub(super) async fn handle(
    state: Arc<State>,
    reset: Reset,
    req: Request<Incoming>,
) -> std::result::Result<Response<Answer>, Infallible> {
    if req.uri().path() == LOAD_PATH {
        return Ok(probe(&state).await);
    }
    Ok(run(&state, &reset, req).await.unwrap_or_else(|it| it))
}

async fn probe(state: &State) -> Response<Answer> {
    wait(state.settings.probe_time).await;
    state.count_probe();
    let body = reported(state);
    respond(state, StatusCode::OK, Bytes::from(body))
}

async fn run(state: &State, reset: &Reset, req: Request<Incoming>) -> Result<Response<Answer>> {
    let arrived = time::Instant::now();
    let deadline = text(req.headers(), DEADLINE_HEADER)
        .and_then(|it| it.parse().ok())
        .map(|it| arrived + Duration::from_millis(it));
    let key = text(req.headers(), KEY_HEADER);
    let attempt = text(req.headers(), ATTEMPT_HEADER);
    let path = req.uri().to_string();
    let body = read_body(state, req).await?;

    let slot = take_slot(state, key.as_deref(), deadline).await?;
    state.count(key.as_deref(), |it| it.started += 1);
    wait(state.service_time()).await;
    wait_while_stalled(state).await;
    state.count(key.as_deref(), |it| it.finished += 1);
    drop(slot);

    let faults = state.faults.borrow().clone();
    wait(faults.answer_delay).await;
    Ok(answer(state, reset, &faults, attempt.unwrap_or_default(), answer_body(state, path, body)))
}

async fn read_body(state: &State, req: Request<Incoming>) -> Result<Bytes> {
    let limited = Limited::new(req.into_body(), state.settings.body_limit_bytes);
    match limited.collect().await {
        Ok(it) => Ok(it.to_bytes()),
        Err(_) => Err(respond(state, StatusCode::PAYLOAD_TOO_LARGE, Bytes::new())),
    }
}

/// Waits for a slot in order of arrival, or returns the answer if the request is not run.
async fn take_slot<'a>(
    state: &'a State,
    key: Option<&str>,
    deadline: Option<time::Instant>,
) -> Result<SemaphorePermit<'a>> {
    let intake = state.faults.borrow().intake;
    match intake {
        Intake::Serve => {}
        Intake::Drain => return Err(shed(state, key, "drain")),
        Intake::FailFast => {
            state.count(key, |it| it.shed += 1);
            return Err(respond(state, StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()));
        }
    }
    let Some(queued) = state.enqueue() else { return Err(shed(state, key, "queue")) };
    let acquire = state.slots.acquire();
    let slot = match deadline {
        None => Some(acquire.await),
        Some(it) => time::timeout_at(it, acquire).await.ok(),
    };
    drop(queued);
    let Some(slot) = slot else { return Err(shed(state, key, "deadline")) };
    Ok(slot.expect("the semaphore is never closed"))
}

/// Sleeps for `time`. A zero duration is skipped, since the timer would sleep for a millisecond.
async fn wait(time: Duration) {
    if !time.is_zero() {
        time::sleep(time).await;
    }
}

async fn wait_while_stalled(state: &State) {
    let mut faults = state.faults.subscribe();
    // The state owns the sender, so waiting can't fail.
    let _ = faults.wait_for(|it| !it.stalled).await;
}

fn shed(state: &State, key: Option<&str>, reason: &'static str) -> Response<Answer> {
    state.count(key, |it| it.shed += 1);
    let mut res = respond(state, StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    res.headers_mut().insert(SHED_HEADER, HeaderValue::from_static(reason));
    res
}

fn answer_body(state: &State, path: String, body: Bytes) -> Bytes {
    if body.is_empty() {
        return Bytes::from(path);
    }
    match state.settings.reply {
        Reply::Echo => body,
        Reply::Digest => Bytes::from(digest(&body)),
    }
}

fn answer(
    state: &State,
    reset: &Reset,
    faults: &Faults,
    attempt: String,
    body: Bytes,
) -> Response<Answer> {
    let previous = state.replace_previous((attempt.clone(), body.clone()));
    let (attempt, body) =
        if faults.delivery == Delivery::Swapped { previous } else { (attempt, body) };
    let mut res = respond(state, StatusCode::OK, body.clone());
    if let Ok(it) = HeaderValue::from_str(&attempt) {
        res.headers_mut().insert(ATTEMPT_HEADER, it);
    }
    reset.store(faults.delivery == Delivery::Reset, Ordering::Release);
    if matches!(faults.delivery, Delivery::Truncated | Delivery::Reset) {
        *res.body_mut() = Answer::truncated(&body);
    }
    res
}

fn respond(state: &State, status: StatusCode, body: Bytes) -> Response<Answer> {
    let mut res = Response::new(Answer::complete(body));
    *res.status_mut() = status;
    let load = HeaderValue::from_str(&reported(state)).expect("a load is printable");
    res.headers_mut().insert(LOAD_HEADER, load);
    res
}

fn reported(state: &State) -> String {
    let faked = state.faults.borrow().reported;
    faked.unwrap_or_else(|| state.load()).to_string()
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|it| it.to_str().ok()).map(str::to_owned)
}

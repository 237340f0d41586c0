//! Handling of a caller's request: route, limits, admission, attempts, reply.
//!
//! Each request ends in exactly one outcome. It is `not-run` only if no attempt can have reached a
//! backend server's handler.

pub mod attempts;
pub mod denial;
pub mod draft;
pub mod hedge;
pub mod plan;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};

use crate::{
    caller::{
        body::{self, Buffered},
        directions, header,
        listener::Handler,
        reply::{self, Outcome, Refusal, Reply},
        upload::Upload,
    },
    id,
    membership::Intake,
    orders,
    state::State,
    upstream::attempt::{Answer, Message},
};

pub use draft::Draft;
pub use plan::Plan;

/// A value, or the refusal that the caller gets in its place.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// `Retry-After` of a request that this entry host doesn't serve now.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles the requests of callers.
pub struct Proxy {
    state: Arc<State>,
}

impl Proxy {
    /// Creates the request handler of a daemon.
    #[must_use]
    pub fn new(state: Arc<State>) -> Self {
        Self { state }
    }
}

impl Handler for Proxy {
    async fn handle(self: Arc<Self>, req: Request<Upload>, caller: SocketAddr) -> Reply {
        let id = self.state.ids.next();
        let _in_progress = InProgress::new(&self.state);
        if req.uri().path() == directions::PATH {
            return directions::answer(&self.state, &req, caller, id);
        }
        let mut draft = Draft::new(&self.state, id);
        let has_key = req.headers().contains_key(header::KEY);
        if let Some(it) =
            intake_refusal(&self.state, caller).map(|it| orders::downgrade_outcome(it, has_key))
        {
            draft.set_outcome(it.outcome, it.status, it.reason);
            return it.reply(id);
        }
        match answer(&self.state, req, caller, id, &mut draft).await {
            Ok(it) => {
                draft.set_outcome(Outcome::Done, it.status, "");
                answer_reply(it, id)
            }
            Err(it) => {
                draft.set_outcome(it.outcome, it.status, it.reason);
                it.reply(id)
            }
        }
    }
}

/// Counts a request as in progress until it is dropped.
pub(crate) struct InProgress(Arc<State>);

impl InProgress {
    pub(crate) fn new(state: &Arc<State>) -> Self {
        state.in_progress.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(state))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the refusal of a request that arrives before the daemon is ready or while it leaves.
fn intake_refusal(state: &State, caller: SocketAddr) -> Option<Refusal> {
    let intake = state.membership().map_or(Intake::NotReady, |it| it.intake());
    let (reason, message) = match intake {
        Intake::Serve => return None,
        Intake::NotReady => ("not-ready", "this entry host has no configuration yet; use another"),
        Intake::Leaving => ("leaving", "this entry host is leaving; use another"),
    };
    let others = state.entry_hosts(&caller.ip().to_string());
    let others: Vec<_> = others.iter().map(ToString::to_string).collect();
    Some(Refusal {
        reason,
        message: message.into(),
        retry_after: RETRY_AFTER,
        entry: others.join(","),
        ..Refusal::default()
    })
}

async fn answer(
    state: &Arc<State>,
    req: Request<Upload>,
    caller: SocketAddr,
    id: id::Request,
    draft: &mut Draft,
) -> Result<Answer> {
    let accepted = state.clock.now();
    let (head, body) = req.into_parts();
    let has_key = head.headers.contains_key(header::KEY);
    let table = state.table();
    let plan = plan::build(&table, &head, caller, id, accepted).map_err(|it| {
        let refusal = denial::confirm(state, table.version, it, draft);
        orders::downgrade_outcome(refusal, has_key)
    })?;
    draft.set_plan(&plan);
    let body = read_body(state, body, &plan).await.map_err(|it| {
        let refusal = denial::confirm(state, Some(plan.version), it, draft);
        orders::downgrade_outcome(refusal, plan.order.is_some())
    })?;
    let message = plan::message(head, body.bytes.clone());
    if plan.route.config.idempotent {
        return attempts::run(state, &plan, &message, draft).await;
    }
    // A disconnected caller must not cancel an order that is being executed, so the order runs in a
    // task of its own.
    run_detached(state, plan, message, body, draft).await
}

async fn run_detached(
    state: &Arc<State>,
    plan: Plan,
    message: Message,
    body: Buffered,
    draft: &mut Draft,
) -> Result<Answer> {
    let state = Arc::clone(state);
    let mut detached = draft.detach(&state, plan.id);
    let in_progress = InProgress::new(&state);
    let task = tokio::spawn(async move {
        let _in_progress = in_progress;
        let res = orders::run(&state, &plan, &message, &mut detached).await;
        drop(body);
        (res, detached)
    });
    match task.await {
        Ok((res, detached)) => {
            draft.reattach(detached);
            res
        }
        Err(e) => Err(Refusal {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            outcome: Outcome::Unknown,
            reason: "internal",
            message: format!("the request failed inside the daemon: {e}"),
            ..Refusal::default()
        }),
    }
}

async fn read_body(state: &State, body: Upload, plan: &Plan) -> Result<Buffered> {
    let limit = plan.limits.body_limit_bytes;
    let read = state.request_memory.read(body, limit, plan.deadline.at()).await;
    read.map_err(|e| {
        let (status, reason) = match e {
            body::Error::TooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, denial::BODY_TOO_LARGE),
            body::Error::Truncated => (StatusCode::BAD_REQUEST, "body-cut"),
            body::Error::Timeout => (StatusCode::REQUEST_TIMEOUT, "body-late"),
        };
        Refusal { status, reason, message: e.to_string(), ..Refusal::default() }
    })
}

/// Builds the reply that carries a backend server's whole answer.
fn answer_reply(answer: Answer, id: id::Request) -> Reply {
    let is_empty = answer.body.bytes.is_empty();
    let body = if is_empty {
        body::ReplyBody::from(Full::new(Bytes::new()))
    } else {
        answer.body.into_reply_body()
    };
    let mut res = Reply::new(body);
    *res.status_mut() = answer.status;
    *res.headers_mut() = answer.headers;
    if !is_empty {
        res.headers_mut().remove(hyper::header::CONTENT_LENGTH);
    }
    res.headers_mut().remove(header::LOAD);
    reply::set_outcome(&mut res, Outcome::Done, id);
    res
}

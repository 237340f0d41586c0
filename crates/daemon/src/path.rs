//! The path of a request: route, limits, admission, attempts, reply.
//!
//! Each request ends in exactly one outcome. `not-run` is told only if no attempt can have reached
//! a backend server's handler.

pub mod attempts;
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
use hyper::{Request, StatusCode, body::Incoming};

use crate::{
    caller::{
        body::{self, Held},
        directions, header,
        listener::Handler,
        reply::{self, Outcome, Refusal, Reply},
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

/// When to try another entry host, or this one again.
const RETRY_ELSEWHERE: Duration = Duration::from_secs(1);

/// Answers the requests of callers.
pub struct Path {
    state: Arc<State>,
}

impl Path {
    /// A path over the state of a daemon.
    #[must_use]
    pub fn new(state: Arc<State>) -> Self {
        Self { state }
    }
}

impl Handler for Path {
    async fn handle(self: Arc<Self>, req: Request<Incoming>, caller: SocketAddr) -> Reply {
        let id = self.state.ids.next();
        let _busy = Busy::new(&self.state);
        if req.uri().path() == directions::PATH {
            return directions::answer(&self.state, &req, caller, id);
        }
        let mut draft = Draft::new(&self.state, id);
        let has_key = req.headers().contains_key(header::KEY);
        if let Some(it) = turned_away(&self.state, caller).map(|it| orders::soften(it, has_key)) {
            draft.close(it.outcome, it.status, it.reason);
            return it.reply(id);
        }
        match answer(&self.state, req, caller, id, &mut draft).await {
            Ok(it) => {
                draft.close(Outcome::Done, it.status, "");
                whole(it, id)
            }
            Err(it) => {
                draft.close(it.outcome, it.status, it.reason);
                it.reply(id)
            }
        }
    }
}

/// Counts a request as in progress until it is dropped.
pub(crate) struct Busy(Arc<State>);

impl Busy {
    pub(crate) fn new(state: &Arc<State>) -> Self {
        state.in_progress.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(state))
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The refusal of a request that arrives before the daemon serves, or after it has left.
fn turned_away(state: &State, caller: SocketAddr) -> Option<Refusal> {
    let intake = state.membership().map_or(Intake::NotReady, |it| it.intake());
    let (reason, message) = match intake {
        Intake::Serve => return None,
        Intake::NotReady => ("not-ready", "this entry host has no configuration yet; use another"),
        Intake::TurnAway => ("leaving", "this entry host is leaving; use another"),
    };
    let others = state.entry_hosts(&caller.ip().to_string());
    let others: Vec<_> = others.iter().map(ToString::to_string).collect();
    Some(Refusal {
        reason,
        message: message.into(),
        retry_after: RETRY_ELSEWHERE,
        entry: others.join(","),
        ..Refusal::default()
    })
}

async fn answer(
    state: &Arc<State>,
    req: Request<Incoming>,
    caller: SocketAddr,
    id: id::Request,
    draft: &mut Draft,
) -> Result<Answer> {
    let accepted = state.clock.now();
    let (head, body) = req.into_parts();
    let has_key = head.headers.contains_key(header::KEY);
    let planned = plan::make(state, &head, caller, id, accepted);
    let plan = planned.map_err(|it| orders::soften(it, has_key))?;
    draft.plan(&plan);
    let body = read(state, body, &plan).await;
    let body = body.map_err(|it| orders::soften(it, plan.order.is_some()))?;
    let message = plan::message(head, body.bytes.clone());
    if plan.route.config.idempotent {
        return attempts::run(state, &plan, &message, draft).await;
    }
    // A caller that goes away must not cut an order off half way: the order runs to its end in a
    // task of its own.
    run_detached(state, plan, message, body, draft).await
}

async fn run_detached(
    state: &Arc<State>,
    plan: Plan,
    message: Message,
    body: Held,
    draft: &mut Draft,
) -> Result<Answer> {
    let state = Arc::clone(state);
    let mut detached = draft.detach(&state, plan.id);
    let busy = Busy::new(&state);
    let task = tokio::spawn(async move {
        let _busy = busy;
        let res = orders::run(&state, &plan, &message, &mut detached).await;
        drop(body);
        (res, detached)
    });
    match task.await {
        Ok((res, detached)) => {
            draft.join(detached);
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

async fn read(state: &State, body: Incoming, plan: &Plan) -> Result<Held> {
    let limit = plan.limits.body_limit_bytes;
    let read = state.request_memory.read(body, limit, plan.deadline.at()).await;
    read.map_err(|e| {
        let (status, reason) = match e {
            body::Error::TooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
            body::Error::Cut => (StatusCode::BAD_REQUEST, "body-cut"),
            body::Error::Late => (StatusCode::REQUEST_TIMEOUT, "body-late"),
        };
        Refusal { status, reason, message: e.to_string(), ..Refusal::default() }
    })
}

/// The reply that carries a backend server's whole answer.
fn whole(answer: Answer, id: id::Request) -> Reply {
    let is_empty = answer.body.bytes.is_empty();
    let body = if is_empty {
        body::Whole::from(Full::new(Bytes::new()))
    } else {
        answer.body.into_whole()
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

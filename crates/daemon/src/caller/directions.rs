//! Directions: which entry hosts a caller should use, and for how long.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Method, Request, StatusCode, body::Incoming};
use serde::Serialize;

use crate::{
    caller::reply::{self, Outcome, Refusal, Reply},
    id,
    path::plan,
    state::State,
};

/// Path at which callers ask for directions.
pub const PATH: &str = "/fireflydrum/entry";

#[derive(Serialize)]
struct Directions {
    hosts: Vec<String>,
    keep_ms: u64,
}

/// Answers a request for directions.
#[must_use]
pub fn answer(
    state: &Arc<State>,
    req: &Request<Incoming>,
    caller: SocketAddr,
    id: id::Request,
) -> Reply {
    if req.method() != Method::GET {
        let refusal = Refusal {
            status: StatusCode::METHOD_NOT_ALLOWED,
            reason: "method-not-allowed",
            message: format!("{PATH} answers GET only"),
            ..Refusal::default()
        };
        return refusal.reply(id);
    }
    let caller = plan::caller_name(req.headers(), caller);
    let hosts = state.entry_hosts(&caller);
    if hosts.is_empty() {
        let refusal = Refusal {
            reason: "not-ready",
            message: "no entry host is known to serve; ask again shortly".into(),
            retry_after: Duration::from_secs(1),
            ..Refusal::default()
        };
        return refusal.reply(id);
    }
    let directions = Directions {
        hosts: hosts.iter().map(ToString::to_string).collect(),
        keep_ms: u64::try_from(state.settings.directions_keep.as_millis()).unwrap_or(u64::MAX),
    };
    let text = serde_json::to_vec(&directions).unwrap_or_default();
    let mut res = reply::json(StatusCode::OK, text);
    reply::set_outcome(&mut res, Outcome::Done, id);
    res
}

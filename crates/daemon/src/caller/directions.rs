//! Directions: which entry hosts a caller should use, and for how long.

use std::sync::Arc;

use hyper::{Method, Request, StatusCode, body::Incoming};
use serde::Serialize;

use crate::{
    caller::reply::{self, Outcome, Refusal, Reply},
    id,
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
pub fn answer(state: &Arc<State>, req: &Request<Incoming>, id: id::Request) -> Reply {
    if req.method() != Method::GET {
        let refusal = Refusal {
            status: StatusCode::METHOD_NOT_ALLOWED,
            reason: "method-not-allowed",
            message: format!("{PATH} answers GET only"),
            ..Refusal::default()
        };
        return refusal.reply(id);
    }
    let directions = Directions {
        hosts: state.entry_hosts().iter().map(ToString::to_string).collect(),
        keep_ms: u64::try_from(state.settings.directions_keep.as_millis()).unwrap_or(u64::MAX),
    };
    let text = serde_json::to_vec(&directions).unwrap_or_default();
    let mut res = reply::json(StatusCode::OK, text);
    reply::set_outcome(&mut res, Outcome::Done, id);
    res
}

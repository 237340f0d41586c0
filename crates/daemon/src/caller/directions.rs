//! Directions: the list of entry hosts that a caller should use, and how long it is valid.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Method, Request, StatusCode};
use serde::Serialize;

use crate::{
    caller::{
        reply::{self, Outcome, Refusal, Reply},
        upload::Upload,
    },
    decision::millis,
    id,
    proxy::plan,
    state::State,
};

/// Path of the directions.
pub const PATH: &str = "/fireflydrum/entry";

#[derive(Serialize)]
struct Directions {
    hosts: Vec<String>,
    keep_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<Issued>,
}

/// A session for orders.
#[derive(Serialize)]
struct Issued {
    id: String,
    /// Whether the outcomes of orders can be recovered after this daemon has stopped or crashed.
    journaled: bool,
    /// Time for which the session accepts new orders.
    life_ms: u64,
}

/// Answers a request for directions.
#[must_use]
pub fn answer(
    state: &Arc<State>,
    req: &Request<Upload>,
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
    let session = match requested_session(req.uri().query().unwrap_or_default()) {
        Ok(requested) => requested.and_then(|it| issue(state, it)),
        Err(it) => return it.reply(id),
    };
    let directions = Directions {
        hosts: hosts.iter().map(ToString::to_string).collect(),
        keep_ms: millis(state.settings.directions_keep),
        session,
    };
    let text = serde_json::to_vec(&directions).unwrap_or_default();
    let mut res = reply::json(StatusCode::OK, text);
    reply::set_outcome(&mut res, Outcome::Done, id);
    res
}

/// The session that a caller requests.
#[derive(Clone, Copy)]
enum Requested {
    New { journaled: bool },
    Renewed(order::Session),
}

/// Reads `session=journaled`, `session=unjournaled` or `session=ID` from a query.
fn requested_session(query: &str) -> Result<Option<Requested>, Refusal> {
    let value = query.split('&').find_map(|it| it.strip_prefix("session="));
    match value {
        None => Ok(None),
        Some("journaled") => Ok(Some(Requested::New { journaled: true })),
        Some("unjournaled") => Ok(Some(Requested::New { journaled: false })),
        Some(id) => id.parse().map(|it| Some(Requested::Renewed(it))).map_err(|_| Refusal {
            status: StatusCode::BAD_REQUEST,
            reason: "bad-session",
            message: "session is `journaled`, `unjournaled` or the id of one to renew".into(),
            ..Refusal::default()
        }),
    }
}

/// Issues or renews a session; `None` if the daemon is not ready or is leaving. Another entry host
/// issues one in its place.
fn issue(state: &State, requested: Requested) -> Option<Issued> {
    let serves = state.membership().is_some_and(|it| it.phase() == member::Phase::Ready);
    let driver = state.orders().filter(|_| serves)?;
    let lease = match requested {
        Requested::New { journaled } => driver.lease(None, journaled),
        Requested::Renewed(it) => driver.lease(Some(it), it.journal != order::Journal::Off),
    }?;
    Some(Issued {
        id: lease.session.to_string(),
        journaled: lease.session.journal != order::Journal::Off,
        life_ms: millis(lease.ttl),
    })
}

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
    #[serde(skip_serializing_if = "Option::is_none")]
    session: Option<Issued>,
}

/// A session for orders.
#[derive(Serialize)]
struct Issued {
    id: String,
    /// Whether an order's outcome can be told after this daemon has died.
    journaled: bool,
    /// Time in which new orders are taken.
    life_ms: u64,
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
    let session = match wanted_session(req.uri().query().unwrap_or_default()) {
        Ok(wanted) => wanted.and_then(|it| issue(state, it)),
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

/// A session that a caller asks for.
#[derive(Clone, Copy)]
enum Wanted {
    New { journaled: bool },
    Renewed(order::Session),
}

/// Reads `session=journaled`, `session=unjournaled` or `session=ID` from a query.
fn wanted_session(query: &str) -> Result<Option<Wanted>, Refusal> {
    let value = query.split('&').find_map(|it| it.strip_prefix("session="));
    match value {
        None => Ok(None),
        Some("journaled") => Ok(Some(Wanted::New { journaled: true })),
        Some("unjournaled") => Ok(Some(Wanted::New { journaled: false })),
        Some(id) => id.parse().map(|it| Some(Wanted::Renewed(it))).map_err(|_| Refusal {
            status: StatusCode::BAD_REQUEST,
            reason: "bad-session",
            message: "session is `journaled`, `unjournaled` or the id of one to renew".into(),
            ..Refusal::default()
        }),
    }
}

/// Issues or renews a session; a daemon that is leaving issues none, another entry host does.
fn issue(state: &State, wanted: Wanted) -> Option<Issued> {
    let serves = state.membership().is_some_and(|it| it.phase() == member::Phase::Ready);
    let driver = state.orders().filter(|_| serves)?;
    let lease = match wanted {
        Wanted::New { journaled } => driver.lease(None, journaled),
        Wanted::Renewed(it) => driver.lease(Some(it), it.journal != order::Journal::Off),
    }?;
    Some(Issued {
        id: lease.session.to_string(),
        journaled: lease.session.journal != order::Journal::Off,
        life_ms: millis(lease.ttl),
    })
}

fn millis(it: Duration) -> u64 {
    u64::try_from(it.as_millis()).unwrap_or(u64::MAX)
}

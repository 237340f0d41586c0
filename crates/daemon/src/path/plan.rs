//! What is to be done for a request, before anything is done.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use admission::{Caller, Deadline};
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode, Uri, http::request};

use crate::{
    caller::{header, reply::Refusal},
    id,
    orders::{self, KEY_REQUIRED},
    path::Result,
    state::State,
    table::Route,
    upstream::attempt::Message,
};

/// Longest name of a caller in bytes; the rest is cut off.
const CALLER_LIMIT_BYTES: usize = 64;

/// What is to be done for a request.
#[derive(Clone)]
pub struct Plan {
    /// Id of the request.
    pub id: id::Request,
    /// Who asks.
    pub caller: Caller,
    /// Version of the configuration that the plan rests on.
    pub version: document::Version,
    /// Route that matched.
    pub route: Arc<Route>,
    /// Limits of the route's service.
    pub limits: Arc<document::Service>,
    /// When the caller gives up.
    pub deadline: Deadline,
    /// Key, if the request is an order with one.
    pub order: Option<order::Key>,
    /// Number up to which the caller has received all outcomes of its session.
    pub acknowledged: order::Number,
}

/// Finds the route of a request and its deadline.
///
/// # Errors
///
/// A refusal that says what is wrong with the request.
pub fn make(
    state: &State,
    head: &request::Parts,
    caller: SocketAddr,
    id: id::Request,
    accepted: Instant,
) -> Result<Plan> {
    let table = state.table();
    let Some(version) = table.version else {
        return Err(Refusal {
            reason: "not-ready",
            message: "this entry host has no configuration yet; use another".into(),
            ..Refusal::default()
        });
    };
    check_path(head.uri.path())?;
    let Some(route) = table.route(head.method.as_str(), head.uri.path()) else {
        return Err(no_route(&head.method, head.uri.path(), table.knows_path(head.uri.path())));
    };
    check_key(&route.config, &head.headers)?;
    let is_order = !route.config.idempotent;
    let order = if is_order { orders::key(&head.headers)? } else { None };
    let acknowledged = orders::acknowledged(&head.headers)?;
    let stated = stated_deadline(&head.headers)?;
    Ok(Plan {
        id,
        caller: caller_name(&head.headers, caller),
        version,
        route: Arc::clone(route),
        limits: route.service.config(),
        deadline: Deadline::new(accepted, route.config.deadline, stated),
        order,
        acknowledged,
    })
}

/// The message that each attempt sends.
#[must_use]
pub fn message(head: request::Parts, body: Bytes) -> Message {
    let mut headers = head.headers;
    header::strip_hop_by_hop(&mut headers);
    headers.remove(hyper::header::CONTENT_LENGTH);
    Message { method: head.method, target: target(&head.uri), headers, body }
}

/// Path and query; a request may name an absolute URI.
fn target(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(|| Uri::from_static("/"), |it| Uri::from(it.clone()))
}

/// Refuses paths that a backend server could resolve to another route's.
fn check_path(path: &str) -> Result<()> {
    let is_dots =
        |it: &str| matches!(it.replace("%2e", ".").replace("%2E", ".").as_str(), "." | "..");
    if path.starts_with('/') && !path.split('/').any(is_dots) {
        return Ok(());
    }
    Err(Refusal {
        status: StatusCode::BAD_REQUEST,
        reason: "bad-path",
        message: "the path must start with `/` and have no `.` or `..` segments".into(),
        ..Refusal::default()
    })
}

fn no_route(method: &hyper::Method, path: &str, path_is_known: bool) -> Refusal {
    let (status, reason) = if path_is_known {
        (StatusCode::METHOD_NOT_ALLOWED, "method-not-allowed")
    } else {
        (StatusCode::NOT_FOUND, "no-route")
    };
    let message = format!("no route for {method} {path}");
    Refusal { status, reason, message, ..Refusal::default() }
}

/// Refuses an order without a key, unless its route allows it.
fn check_key(route: &document::Route, headers: &HeaderMap) -> Result<()> {
    if route.idempotent || route.allow_unkeyed || headers.contains_key(header::KEY) {
        return Ok(());
    }
    Err(Refusal {
        status: StatusCode::BAD_REQUEST,
        reason: KEY_REQUIRED,
        message:
            "this route places orders: send Idempotency-Key: SESSION.NUMBER, with the session \
                  from /fireflydrum/entry"
                .into(),
        ..Refusal::default()
    })
}

fn stated_deadline(headers: &HeaderMap) -> Result<Option<std::time::Duration>> {
    let Some(value) = headers.get(header::DEADLINE_MS) else { return Ok(None) };
    let stated = value.to_str().ok().and_then(Deadline::parse);
    if stated.is_some() {
        return Ok(stated);
    }
    Err(Refusal {
        status: StatusCode::BAD_REQUEST,
        reason: "bad-deadline",
        message: "Fireflydrum-Deadline-Ms must be a whole number of milliseconds".into(),
        ..Refusal::default()
    })
}

/// Name of a caller: what it says of itself, else its IP address.
#[must_use]
pub fn caller_name(headers: &HeaderMap, address: SocketAddr) -> Caller {
    match headers.get(header::CALLER).and_then(|it| it.to_str().ok()) {
        Some(name) if !name.is_empty() => name.get(..CALLER_LIMIT_BYTES).unwrap_or(name).into(),
        _ => address.ip().to_string().into(),
    }
}

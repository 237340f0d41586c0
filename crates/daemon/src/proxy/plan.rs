//! Checks of a request, and its route, deadline and order key, before admission.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use admission::{Caller, Deadline};
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode, Uri, http::request};

use crate::{
    caller::{header, reply::Refusal},
    id,
    orders::{self, KEY_REQUIRED},
    proxy::{
        Result,
        denial::{METHOD_NOT_ALLOWED, NO_ROUTE},
    },
    table::{Route, Table},
    upstream::attempt::Message,
};

/// Maximum length of a caller's name in bytes; longer names are truncated.
const CALLER_LIMIT_BYTES: usize = 64;

/// Route, limits, deadline and order key of a request.
#[derive(Clone)]
pub struct Plan {
    /// Id of the request.
    pub id: id::Request,
    /// Name of the caller.
    pub caller: Caller,
    /// Version of the configuration that the plan was made with.
    pub version: document::Version,
    /// Route that matched.
    pub route: Arc<Route>,
    /// Limits of the route's service.
    pub limits: Arc<document::Service>,
    /// When the request expires.
    pub deadline: Deadline,
    /// Key of the order; `None` if the request is no order with a key.
    pub order: Option<order::Key>,
    /// Number up to which the caller has received all outcomes of its session.
    pub acknowledged: order::Number,
}

/// Checks a request and finds its route and deadline.
///
/// # Errors
///
/// Returns a refusal that says what is wrong with the request.
pub fn build(
    table: &Table,
    head: &request::Parts,
    caller: SocketAddr,
    id: id::Request,
    accepted: Instant,
) -> Result<Plan> {
    let Some(version) = table.version else {
        return Err(Refusal {
            reason: "not-ready",
            message: "this entry host has no configuration yet; use another".into(),
            ..Refusal::default()
        });
    };
    check_path(head.uri.path())?;
    let Some(route) = table.route(head.method.as_str(), head.uri.path()) else {
        return Err(route_refusal(&head.method, head.uri.path(), table.has_path(head.uri.path())));
    };
    check_key(&route.config, &head.headers)?;
    let is_order = !route.config.idempotent;
    let order = if is_order { orders::key(&head.headers)? } else { None };
    let acknowledged = orders::acknowledged(&head.headers)?;
    let requested = requested_deadline(&head.headers)?;
    Ok(Plan {
        id,
        caller: caller_name(&head.headers, caller),
        version,
        route: Arc::clone(route),
        limits: route.service.config(),
        deadline: Deadline::new(accepted, route.config.deadline, requested),
        order,
        acknowledged,
    })
}

/// Builds the message that each attempt sends.
#[must_use]
pub fn message(head: request::Parts, body: Bytes) -> Message {
    let mut headers = head.headers;
    header::strip_hop_by_hop(&mut headers);
    headers.remove(hyper::header::CONTENT_LENGTH);
    Message { method: head.method, target: target(&head.uri), headers, body }
}

/// Returns path and query; the URI of a request may be absolute.
fn target(uri: &Uri) -> Uri {
    uri.path_and_query().map_or_else(|| Uri::from_static("/"), |it| Uri::from(it.clone()))
}

/// Refuses paths with dot segments, which a backend server could resolve to the path of another
/// route.
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

fn route_refusal(method: &hyper::Method, path: &str, path_is_known: bool) -> Refusal {
    let (status, reason) = if path_is_known {
        (StatusCode::METHOD_NOT_ALLOWED, METHOD_NOT_ALLOWED)
    } else {
        (StatusCode::NOT_FOUND, NO_ROUTE)
    };
    let message = format!("no route for {method} {path}");
    Refusal { status, reason, message, ..Refusal::default() }
}

/// Refuses an order without a key unless its route allows it.
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

fn requested_deadline(headers: &HeaderMap) -> Result<Option<std::time::Duration>> {
    let Some(value) = headers.get(header::DEADLINE_MS) else { return Ok(None) };
    let requested = value.to_str().ok().and_then(Deadline::parse);
    if requested.is_some() {
        return Ok(requested);
    }
    Err(Refusal {
        status: StatusCode::BAD_REQUEST,
        reason: "bad-deadline",
        message: "Fireflydrum-Deadline-Ms must be a whole number of milliseconds".into(),
        ..Refusal::default()
    })
}

/// Returns the name of a caller from its header, or its IP address if the header has none.
#[must_use]
pub fn caller_name(headers: &HeaderMap, address: SocketAddr) -> Caller {
    match headers.get(header::CALLER).and_then(|it| it.to_str().ok()) {
        Some(name) if !name.is_empty() => name.get(..CALLER_LIMIT_BYTES).unwrap_or(name).into(),
        _ => address.ip().to_string().into(),
    }
}

//! HTTP listener for operators: `/metrics`, `/status`, `/hosts`, `/explain`, `/drain`.

use std::{
    io::Cursor,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde::Serialize;
use tiny_http::{Header, Method, Request, Response, Server};

use crate::state::State;

/// Interval at which the listener checks whether it must stop.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of decisions that `/explain` lists without an id.
const LAST_DECISIONS: usize = 50;

/// The listener could not start.
#[derive(Debug, thiserror::Error)]
#[error("cannot start the admin listener on {address}: {reason}")]
pub struct Error {
    address: SocketAddr,
    reason: String,
}

/// Result of starting the listener.
pub type Result<T, E = Error> = std::result::Result<T, E>;

type Answer = Response<Cursor<Vec<u8>>>;

/// Starts the listener on a separate thread and returns its address.
///
/// # Errors
///
/// Fails if the address can't be used.
pub fn start(state: Arc<State>, stop: Arc<AtomicBool>) -> Result<SocketAddr> {
    let address = state.settings.admin_address;
    let server = Server::http(address).map_err(|e| Error { address, reason: e.to_string() })?;
    let bound = server.server_addr().to_ip().unwrap_or(address);
    thread::spawn(move || serve(&state, &server, &stop));
    Ok(bound)
}

fn serve(state: &State, server: &Server, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        match server.recv_timeout(POLL_INTERVAL) {
            Ok(Some(req)) => respond(state, req),
            Ok(None) => {}
            Err(e) => log::error!("admin listener: {e}"),
        }
    }
}

fn respond(state: &State, req: Request) {
    let answer = match (req.method(), path(req.url())) {
        (Method::Get, "/metrics") => {
            let text = state.metrics.encode(&state.status());
            with_content_type(
                Response::from_data(text),
                "application/openmetrics-text; version=1.0.0",
            )
        }
        (Method::Get, "/status") => json(&state.status()),
        (Method::Get, "/hosts") => json(&state.hosts()),
        (Method::Get, "/explain") => json(&state.recorder.last(LAST_DECISIONS)),
        (Method::Post, "/drain") => {
            state.leave.send_replace(true);
            json(&state.status())
        }
        (Method::Get, it) if it.starts_with("/explain/") => explain(state, it),
        _ => error(
            404,
            "known paths: /metrics, /status, /hosts, /explain, /explain/REQUEST, POST /drain",
        ),
    };
    if let Err(e) = req.respond(answer) {
        log::debug!("admin listener: answer not sent: {e}");
    }
}

fn explain(state: &State, path: &str) -> Answer {
    let id = path.trim_start_matches("/explain/");
    match state.recorder.explain(id) {
        Some(it) => json(&*it),
        None => error(404, "this host keeps no decision of that id"),
    }
}

fn path(url: &str) -> &str {
    url.split('?').next().unwrap_or(url)
}

fn json<T: Serialize>(it: &T) -> Answer {
    let text = serde_json::to_vec(it).unwrap_or_default();
    with_content_type(Response::from_data(text), "application/json")
}

fn error(status: u16, message: &str) -> Answer {
    #[derive(Serialize)]
    struct Message<'a> {
        error: &'a str,
    }
    json(&Message { error: message }).with_status_code(status)
}

fn with_content_type(answer: Answer, kind: &str) -> Answer {
    match Header::from_bytes("Content-Type", kind) {
        Ok(it) => answer.with_header(it),
        Err(()) => answer,
    }
}

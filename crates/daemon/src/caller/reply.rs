//! Replies to callers, each with exactly one outcome.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode, header, header::HeaderValue};
use serde::Serialize;

use crate::{
    caller::{body, header as names},
    id,
};

/// A reply whose body is complete before its first byte is sent.
pub type Reply = Response<body::ReplyBody>;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A backend server sent a whole answer.
    Done,
    /// The request provably never reached a backend server's handler.
    NotRun,
    /// The request may have run; it will not be run again.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// A reply made by the daemon itself, for a request that was refused or has failed.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Status of the reply.
    pub status: StatusCode,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Machine-readable reason.
    pub reason: &'static str,
    /// Human-readable message: what went wrong and what the caller can do.
    pub message: String,
    /// Value of `Retry-After`; zero omits the header.
    pub retry_after: Duration,
    /// Other entry hosts to use, as `ip:port` separated by commas; empty omits the header.
    pub entry: String,
}

impl Default for Refusal {
    fn default() -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            outcome: Outcome::NotRun,
            reason: "unavailable",
            message: String::new(),
            retry_after: Duration::ZERO,
            entry: String::new(),
        }
    }
}

#[derive(Serialize)]
struct Explanation<'a> {
    outcome: &'a str,
    reason: &'a str,
    message: &'a str,
    request: String,
}

impl Refusal {
    /// Builds the reply for the request `id`.
    #[must_use]
    pub fn reply(&self, id: id::Request) -> Reply {
        let explanation = Explanation {
            outcome: self.outcome.as_str(),
            reason: self.reason,
            message: &self.message,
            request: id.to_string(),
        };
        let text = serde_json::to_vec(&explanation).unwrap_or_default();
        let mut res = json(self.status, text);
        set_outcome(&mut res, self.outcome, id);
        if !self.retry_after.is_zero() {
            let seconds = self.retry_after.as_secs_f64().ceil();
            insert(&mut res, header::RETRY_AFTER, &format!("{seconds:.0}"));
        }
        if !self.entry.is_empty() {
            insert(&mut res, names::ENTRY, &self.entry);
        }
        res
    }
}

/// Builds a reply with a JSON body.
#[must_use]
pub fn json(status: StatusCode, text: Vec<u8>) -> Reply {
    let mut res = Response::new(body::ReplyBody::from(Full::new(Bytes::from(text))));
    *res.status_mut() = status;
    insert(&mut res, header::CONTENT_TYPE, "application/json");
    res
}

/// Sets the headers for the outcome and the id of the request.
pub fn set_outcome(res: &mut Reply, outcome: Outcome, id: id::Request) {
    res.headers_mut().insert(names::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    insert(res, names::REQUEST, &id.to_string());
}

fn insert(res: &mut Reply, name: header::HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(name, value);
    }
}

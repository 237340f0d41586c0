//! An order as it is forwarded between entry hosts.

use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, header::HeaderName, header::HeaderValue, http::request};
use order::Header;
use peer::Blob;
use serde::{Deserialize, Serialize};

use crate::{caller::header, decision::millis, proxy::Plan, upstream::attempt};

/// An order as it is forwarded between entry hosts.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Message {
    /// Method of the request.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// End-to-end headers, the key among them.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Blob,
    /// Name of the caller.
    pub caller: String,
    /// Milliseconds until the deadline at the time of sending.
    pub remaining_ms: u64,
}

impl Message {
    /// Creates the message of a planned request.
    #[must_use]
    pub fn new(plan: &Plan, message: &attempt::Message) -> Self {
        Self {
            method: message.method.to_string(),
            target: message.target.to_string(),
            headers: list(&message.headers),
            body: Blob(message.body.clone()),
            caller: plan.caller.to_string(),
            remaining_ms: 0,
        }
    }

    /// Returns the message to send when `remaining` is left until the deadline.
    #[must_use]
    pub fn with_remaining(&self, remaining: Duration) -> Self {
        Self { remaining_ms: millis(remaining), ..self.clone() }
    }

    /// Converts the message back to a request; `None` if it is no valid HTTP request.
    #[must_use]
    pub fn request(&self) -> Option<(request::Parts, Bytes)> {
        let mut req = hyper::Request::builder()
            .method(self.method.as_str())
            .uri(self.target.as_str())
            .body(())
            .ok()?;
        *req.headers_mut() = map(&self.headers);
        let caller = HeaderValue::from_str(&self.caller).ok()?;
        req.headers_mut().insert(header::CALLER, caller);
        let remaining = HeaderValue::from_str(&self.remaining_ms.to_string()).ok()?;
        req.headers_mut().insert(header::DEADLINE_MS, remaining);
        Some((req.into_parts().0, self.body.0.clone()))
    }
}

/// Converts headers to a list, without values that are not text.
#[must_use]
pub(super) fn list(headers: &HeaderMap) -> Vec<Header> {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        Some(Header { name: name.to_string(), value: value.to_str().ok()?.to_owned() })
    };
    headers.iter().filter_map(text).collect()
}

/// Converts headers to a map, without invalid ones.
#[must_use]
pub(super) fn map(headers: &[Header]) -> HeaderMap {
    let parse = |it: &Header| {
        let name: HeaderName = it.name.parse().ok()?;
        Some((name, HeaderValue::from_str(&it.value).ok()?))
    };
    headers.iter().filter_map(parse).collect()
}

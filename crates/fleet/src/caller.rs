//! A caller that sends requests to entry hosts over HTTP.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use ureq::{
    Agent,
    http::{HeaderMap, Request, Response},
};

use crate::Answer;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of an answer, in bytes.
const ANSWER_LIMIT_BYTES: u64 = 64 << 20;

/// A call.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Method; empty means `GET`.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers, as `name: value`.
    pub headers: Vec<String>,
    /// Body.
    pub body: Bytes,
}

/// A caller with its own connections.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: Agent,
}

impl Default for Caller {
    fn default() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .timeout_global(Some(TIMEOUT))
            .allow_non_standard_methods(true)
            .build();
        Self { agent: config.into() }
    }
}

impl Caller {
    /// Makes a call; a broken connection is an answer with status 0.
    #[must_use]
    pub fn call(&self, host: SocketAddr, call: &Call) -> Answer {
        match self.try_call(host, call) {
            Ok(it) => it,
            Err(e) => Answer { body: e.to_string().into(), ..Answer::default() },
        }
    }

    /// Makes a `GET` call.
    #[must_use]
    pub fn get(&self, host: SocketAddr, path: &str) -> Answer {
        self.call(host, &Call { path: path.into(), ..Call::default() })
    }

    /// Makes a `POST` call with an idempotency key, if `key` isn't empty.
    #[must_use]
    pub fn post(&self, host: SocketAddr, path: &str, key: &str, body: Bytes) -> Answer {
        let headers = if key.is_empty() { vec![] } else { vec![format!("idempotency-key: {key}")] };
        self.call(host, &Call { method: "POST".into(), path: path.into(), headers, body })
    }

    fn try_call(&self, host: SocketAddr, call: &Call) -> Result<Answer, ureq::Error> {
        let method = if call.method.is_empty() { "GET" } else { &call.method };
        let mut req = Request::builder().method(method).uri(format!("http://{host}{}", call.path));
        for it in &call.headers {
            if let Some((name, value)) = it.split_once(": ") {
                req = req.header(name, value);
            }
        }
        let res = if call.body.is_empty() {
            self.agent.run(req.body(())?)?
        } else {
            self.agent.run(req.body(&call.body[..])?)?
        };
        read(res)
    }
}

fn read(mut res: Response<ureq::Body>) -> Result<Answer, ureq::Error> {
    let body = res.body_mut().with_config().limit(ANSWER_LIMIT_BYTES).read_to_vec()?;
    let headers = res.headers();
    Ok(Answer {
        status: res.status().as_u16(),
        outcome: text(headers, "fireflydrum-outcome"),
        request: text(headers, "fireflydrum-request"),
        entry: text(headers, "fireflydrum-entry"),
        retry_after: text(headers, "retry-after"),
        body: body.into(),
    })
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
}

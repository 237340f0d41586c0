//! Refusals of requests that were not read to their end.

use std::time::Duration;

use super::MEMORY_RETRY_AFTER;
use crate::{
    config::{Gap, Limits},
    decision::Origin,
    gateway::Gateway,
    http,
    request::{self, Refusal, Reply},
};

/// Answers a request that can't be read.
pub(super) async fn answer(gateway: &Gateway, e: http::Error) -> Reply {
    let refusal = match e {
        http::Error::OutOfMemory => return refuse(gateway, out_of_memory()),
        http::Error::Malformed(_) | http::Error::Framing(_) => denial(400, &e),
        http::Error::HeadTooLarge(limit) => {
            let is_raised = |it: &Limits| it.head_bytes > limit;
            over_limit(gateway, Gap::HeadLimit, is_raised).await.unwrap_or_else(|| denial(431, &e))
        }
        http::Error::BodyTooLarge(limit) => {
            let is_raised = |it: &Limits| it.body_bytes > limit;
            over_limit(gateway, Gap::BodyLimit, is_raised).await.unwrap_or_else(|| denial(413, &e))
        }
    };
    refuse(gateway, refusal)
}

/// A final refusal of a request that can't be read.
fn denial(status: u16, e: &http::Error) -> Refusal {
    Refusal { status, reason: e.reason(), message: e.to_string(), retry_after: None }
}

/// Refusal of a request over a limit while the operator's newest limit may be higher.
async fn over_limit(
    gateway: &Gateway,
    gap: Gap,
    is_raised: impl Fn(&Limits) -> bool,
) -> Option<Refusal> {
    if let Err(it) = request::require_newest_config(gateway, Duration::MAX).await {
        return Some(it);
    }
    match gateway.table() {
        None => Some(Refusal::not_ready()),
        Some(it) if it.gaps.contains(&gap) => Some(Refusal::config_incomplete()),
        Some(it) => is_raised(&it.limits).then(Refusal::limit_raised),
    }
}

/// Refuses a request that did not arrive in time.
pub(super) fn time_out(gateway: &Gateway) -> Reply {
    let message = "the request was not whole in time".to_owned();
    refuse(gateway, Refusal { status: 408, reason: "slow-caller", message, retry_after: None })
}

/// The memory for bodies is used up.
pub(super) fn out_of_memory() -> Refusal {
    let message = "the bodies of other requests hold the memory for bodies".to_owned();
    Refusal::not_run("body-memory", message, MEMORY_RETRY_AFTER)
}

/// Refuses a request that was not read to its end, and closes its connection.
pub(super) fn refuse(gateway: &Gateway, refusal: Refusal) -> Reply {
    gateway.metrics.count_unread(refusal.status, refusal.reason, || gateway.knowledge());
    let limit = gateway.settings().failure_lines_per_s;
    if gateway.log_limiter.borrow_mut().allows(gateway.now(), refusal.reason, limit) {
        log::info!(
            target: "request",
            "event=request-refused status={} reason={} origin={} config={} {}",
            refusal.status, refusal.reason, Origin::Daemon.name(), gateway.version(),
            gateway.knowledge_text()
        );
    }
    Reply { closes_connection: true, ..Reply::refuse(refusal, None) }
}

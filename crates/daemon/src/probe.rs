//! Sends load probes to upstreams, within the operators' budget.
//!
//! The balancer selects the upstream to probe; its token bucket limits the rate of probes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use balance::UpstreamId;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};

use crate::{
    caller::header,
    service::Service,
    state::State,
    upstream::{
        attempt::{Attempt, Message},
        load,
        pool::Reuse,
    },
};

/// Interval at which each balancer is polled for an upstream to probe.
const INTERVAL: Duration = Duration::from_millis(20);
/// Interval while no service has a probe budget.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Delay of the first probe after the start. Until then other entry hosts may not have discovered
/// this one and may still spend the whole budget.
const START_DELAY: Duration = Duration::from_secs(5);
/// Timeout of a probe.
const TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of the answer to a probe in bytes.
const ANSWER_LIMIT_BYTES: u64 = 4 << 10;

/// Sends probes until the runtime ends.
pub async fn run(state: Arc<State>) {
    tokio::time::sleep(START_DELAY).await;
    loop {
        let table = state.table();
        let has_budget = |it: &&Arc<Service>| it.config().probe_budget_per_s > 0.0;
        let probed: Vec<_> = table.services.values().filter(has_budget).collect();
        let wait = if probed.is_empty() { IDLE_INTERVAL } else { INTERVAL };
        tokio::time::sleep(wait).await;
        for service in probed {
            let now = state.clock.now();
            let Some(upstream) = service.balancer().probe(now) else { continue };
            tokio::spawn(probe(Arc::clone(&state), Arc::clone(service), upstream, now + TIMEOUT));
        }
    }
}

async fn probe(state: Arc<State>, service: Arc<Service>, upstream: UpstreamId, deadline: Instant) {
    let Some(pool) = service.pool(&upstream) else { return };
    let Ok(target) = service.config().probe_path.parse::<Uri>() else { return };
    let attempt = Attempt {
        clock: &*state.clock,
        pool: &pool,
        id: String::new(),
        reuse: Reuse::Idle,
        answer_limit: ANSWER_LIMIT_BYTES,
        budget: &state.answer_memory,
        deadline,
        guard: None,
    };
    let mut headers = HeaderMap::new();
    if let Ok(it) = pool.address().to_string().parse() {
        headers.insert(hyper::header::HOST, it);
    }
    let message = Message { method: Method::GET, target, headers, body: Bytes::new() };
    let answer = match attempt.run(&message).await {
        Ok(it) => it,
        Err(e) => return log::debug!("probe of {upstream} failed: {e}"),
    };
    let report = answer.headers.get(header::LOAD).and_then(|it| load::parse(it.to_str().ok()?));
    match report {
        Some(it) => service.balancer().report(state.clock.now(), &upstream, it),
        None => log::debug!("probe of {upstream}: no load report on the answer"),
    }
}

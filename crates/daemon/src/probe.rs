//! Sends load probes to upstreams, within the operators' budget.
//!
//! The balancer decides which upstream is worth a probe; its token bucket is the only way to one.

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

/// Time between two looks for upstreams that are worth a probe.
const INTERVAL: Duration = Duration::from_millis(20);
/// Time after the start before the first probe. Until then other entry hosts may not know of this
/// one and still spend the whole budget.
const SETTLE: Duration = Duration::from_secs(5);
/// Time after which a probe is given up.
const TIMEOUT: Duration = Duration::from_millis(250);
/// Largest answer to a probe in bytes.
const ANSWER_LIMIT_BYTES: u64 = 4 << 10;

/// Sends probes until the runtime ends.
pub async fn run(state: Arc<State>) {
    tokio::time::sleep(SETTLE).await;
    let mut interval = tokio::time::interval(INTERVAL);
    loop {
        interval.tick().await;
        let table = state.table();
        let probed = table.services.values().filter(|it| it.config().probe_budget_per_s > 0.0);
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
        gate: None,
    };
    let mut headers = HeaderMap::new();
    if let Ok(it) = pool.address().to_string().parse() {
        headers.insert(hyper::header::HOST, it);
    }
    let message = Message { method: Method::GET, target, headers, body: Bytes::new() };
    let answer = match attempt.run(&message).await {
        Ok(it) => it,
        Err(e) => return log::debug!("probe of {upstream}: {e}"),
    };
    let report = answer.headers.get(header::LOAD).and_then(|it| load::parse(it.to_str().ok()?));
    match report {
        Some(it) => service.balancer().report(state.clock.now(), &upstream, it),
        None => log::debug!("probe of {upstream}: no load report on the answer"),
    }
}

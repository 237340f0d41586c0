//! Probes of upstreams' loads just before a request is sent.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};

use crate::{
    config::Table,
    desk::Desk,
    gateway::Gateway,
    http::{self, Head, Header, Message},
    registry::{Registration, UpstreamId},
    upstream::Exchange,
};

/// Age up to which a report is taken as the present state of an upstream.
const FRESH: Duration = Duration::from_millis(60);
/// Upstreams that are probed for one request.
const CANDIDATES: usize = 3;
/// Longest time that a request waits for answers to probes.
const PATIENCE: Duration = Duration::from_millis(15);
/// Longest time that a probe takes.
const TIMEOUT: Duration = Duration::from_millis(250);
/// Probes that may be sent at once after a quiet time.
const BURST: f64 = 50.0;

/// Budget for probes, as a bucket of tokens.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    /// A bucket without tokens that isn't filled yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { rate: 0.0, tokens: 0.0, filled: now }
    }

    /// Sets the probes a second that this daemon may send.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Takes a probe; false if the budget is spent.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + elapsed * self.rate).min(BURST);
        let is_open = self.tokens >= 1.0;
        if is_open {
            self.tokens -= 1.0;
        }
        is_open
    }
}

/// Learns the present load of some candidates, unless one is known to be undisturbed.
pub async fn refresh(
    gateway: &Rc<Gateway>,
    table: &Table,
    desk: &Rc<Desk>,
    route: &str,
    tried: &[UpstreamId],
) {
    let now = gateway.now();
    let candidates = {
        let mut service = desk.service.borrow_mut();
        let Some(best) = service.choose(now, route, tried) else { return };
        if service.is_known_good(now, &best, FRESH) {
            return;
        }
        service.unknown(now, tried, FRESH, CANDIDATES)
    };
    let Some(config) = table.services.get(&desk.id) else { return };
    let mut probes = FuturesUnordered::new();
    for id in candidates {
        let registration = desk.service.borrow().get(&id).map(|it| it.registration.clone());
        let Some(registration) = registration else { continue };
        if !gateway.probes.borrow_mut().take(now) {
            break;
        }
        let probe = probe(
            Rc::clone(gateway),
            Rc::clone(desk),
            registration,
            config.health_path.clone(),
        );
        // A probe goes on when the request no longer waits for it: its connection stays usable.
        probes.push(tokio::task::spawn_local(probe));
    }
    let wait = async {
        while let Some(it) = probes.next().await {
            if let Ok(Some(id)) = it
                && desk.service.borrow().is_known_good(gateway.now(), &id, FRESH)
            {
                return;
            }
        }
    };
    // Running out of patience is no failure: the choice is made with what is known.
    let _elapsed = tokio::time::timeout(PATIENCE, wait).await;
}

/// Asks one upstream for its load; gives its id if it answered.
async fn probe(
    gateway: Rc<Gateway>,
    desk: Rc<Desk>,
    upstream: Registration,
    path: String,
) -> Option<UpstreamId> {
    gateway.metrics.probes.inc();
    let probing = tokio::time::timeout(TIMEOUT, exchange(&gateway, &upstream, &path));
    let answer = probing.await.ok()??;
    let load = answer.head.get(gateway.dialect.names.load)?;
    let report = (gateway.dialect.parse_load)(load)?;
    desk.service.borrow_mut().report(gateway.now(), &upstream.id, report);
    gateway.mark_changed(&upstream.id);
    Some(upstream.id)
}

async fn exchange(gateway: &Gateway, upstream: &Registration, path: &str) -> Option<Message> {
    let now = gateway.now();
    let id = &upstream.id;
    let taking = gateway.pool.take(id, upstream.address, now, TIMEOUT * 20, TIMEOUT);
    let link = taking.await.ok()?;
    let bytes = http::request(&message(upstream, path), &[]);
    let names = &gateway.dialect.names;
    let exchange = Exchange { bytes: &bytes, method: b"GET", id_name: names.request_id, id: None };
    let (answer, rest) = exchange.run(link).await.ok()?;
    if let Some((link, limit)) = rest {
        gateway.pool.put(id, gateway.now(), link, limit);
    }
    Some(answer)
}

fn message(upstream: &Registration, path: &str) -> Message {
    let host = Header { name: "Host".into(), value: upstream.address.to_string().into() };
    let head = Head {
        method: "GET".into(),
        target: path.to_owned().into(),
        minor_version: 1,
        headers: vec![host],
        ..Head::default()
    };
    Message { head, ..Message::default() }
}

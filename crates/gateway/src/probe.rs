//! Probes of upstreams' loads just before a request is sent.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::task::JoinHandle;

use crate::{
    config::Table,
    dispatcher::Dispatcher,
    gateway::Gateway,
    http::{self, Head, Header, Message},
    load::Eligibility,
    registry::{Registration, UpstreamId},
    upstream::Exchange,
};

/// Upstreams that are probed for one request.
const CANDIDATES: usize = 3;
/// Longest time that a request waits for answers to probes.
const PATIENCE: Duration = Duration::from_millis(15);
/// Time between two rounds of probes while requests wait.
const WATCH_INTERVAL: Duration = Duration::from_millis(15);
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

/// Learns how some candidates stand, until one is known to be undisturbed; gives the care with which
/// to choose then.
pub async fn refresh(
    gateway: &Rc<Gateway>,
    table: &Table,
    dispatcher: &Rc<Dispatcher>,
    route: &str,
    tried: &[UpstreamId],
) -> Eligibility {
    let knows_one = || {
        let mut service = dispatcher.service.borrow_mut();
        service.choose(gateway.now(), route, tried, Eligibility::Normal).is_some()
    };
    if knows_one()
        || dispatcher.service.borrow_mut().probe_candidates(gateway.now(), tried, 1).is_empty()
    {
        return Eligibility::Normal;
    }
    let mut probes = start(gateway, table, dispatcher, tried);
    if probes.is_empty() {
        // The budget is spent: all that can be done is to choose by what is known.
        return Eligibility::Any;
    }
    let wait = async { while probes.next().await.is_some() && !knows_one() {} };
    // Running out of patience is no failure: the choice is made with what is known.
    let _elapsed = tokio::time::timeout(PATIENCE, wait).await;
    Eligibility::Normal
}

/// Goes on learning how upstreams stand while requests wait for one that is undisturbed.
pub async fn watch(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        let Some(table) = gateway.table() else { continue };
        for dispatcher in gateway.dispatchers() {
            if dispatcher.queue_len() > 0 {
                // The probes go on by themselves and wake the queue.
                drop(start(&gateway, &table, &dispatcher, &[]));
            }
        }
    }
}

/// Starts probes of candidates whose standing isn't known.
fn start(
    gateway: &Rc<Gateway>,
    table: &Table,
    dispatcher: &Rc<Dispatcher>,
    tried: &[UpstreamId],
) -> FuturesUnordered<JoinHandle<()>> {
    let now = gateway.now();
    let res = FuturesUnordered::new();
    let Some(config) = table.services.get(&dispatcher.id) else { return res };
    let candidates = dispatcher.service.borrow_mut().probe_candidates(now, tried, CANDIDATES);
    for id in candidates {
        let registration = dispatcher.service.borrow().get(&id).map(|it| it.registration.clone());
        let Some(registration) = registration else { continue };
        if !gateway.probe_budget.borrow_mut().take(now) {
            break;
        }
        let (gateway, dispatcher) = (Rc::clone(gateway), Rc::clone(dispatcher));
        let path = config.health_path.clone();
        // A probe goes on when nobody waits for it any more: its connection stays usable.
        res.push(tokio::task::spawn_local(probe(gateway, dispatcher, registration, path)));
    }
    res
}

/// Asks one upstream for its load.
async fn probe(
    gateway: Rc<Gateway>,
    dispatcher: Rc<Dispatcher>,
    upstream: Registration,
    path: String,
) {
    gateway.metrics.probes.inc();
    let started = gateway.now();
    let probing = tokio::time::timeout(
        TIMEOUT,
        exchange(&gateway, &upstream, &path, dispatcher.idle_limit()),
    );
    let Ok(Some(answer)) = probing.await else { return };
    let load = answer.head.get(gateway.protocol.names.load);
    let Some(report) = load.and_then(|it| (gateway.protocol.parse_load)(it)) else { return };
    let now = gateway.now();
    let mut service = dispatcher.service.borrow_mut();
    service.record_probe(now.saturating_duration_since(started));
    service.record_report(now, &upstream.id, report);
    drop(service);
    gateway.mark_load_changed(&upstream.id);
    dispatcher.serve_queue(now);
}

async fn exchange(
    gateway: &Gateway,
    upstream: &Registration,
    path: &str,
    idle_limit: usize,
) -> Option<Message> {
    let now = gateway.now();
    let id = &upstream.id;
    let taking = gateway.pool.take(id, upstream.address, now, TIMEOUT * 20, TIMEOUT);
    let link = taking.await.ok()?;
    let bytes = http::request(&message(upstream, path), &[]);
    let names = &gateway.protocol.names;
    let exchange = Exchange { bytes: &bytes, method: b"GET", id_name: names.request_id, id: None };
    let answered = exchange.run(link).await.ok()?;
    gateway.pool.put(id, gateway.now(), answered.link, answered.keep_time, idle_limit);
    Some(answered.message)
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

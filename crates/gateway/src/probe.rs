//! Probes of upstreams' loads just before a request is sent.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::task::JoinHandle;

use crate::{
    config::Table,
    dispatcher::Dispatcher,
    gateway::Gateway,
    http::{self, Head, Header, Message},
    load::{Domains, Eligibility},
    registry::{Registration, UpstreamId},
    upstream::Exchange,
};

/// Maximum number of upstreams probed for one request.
const MAX_CANDIDATES: usize = 3;
/// Longest time that a request waits for probe answers.
const WAIT_TIMEOUT: Duration = Duration::from_millis(15);
/// Interval of probe rounds while requests are queued.
const ROUND_INTERVAL: Duration = Duration::from_millis(15);
/// Interval at which it is checked which upstreams must be asked whether they are cold.
const TEMPERATURE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of the body of a probe's answer, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Capacity of the token bucket: probes that may be sent in one burst.
pub const BURST: f64 = 50.0;

/// Probes some upstreams of unknown condition until one with normal pace is found. Returns the
/// eligibility to use for the following choice.
pub async fn refresh(
    gateway: &Rc<Gateway>,
    table: &Table,
    dispatcher: &Rc<Dispatcher>,
    route: &str,
    tried: &[UpstreamId],
    domains: &Domains,
) -> Eligibility {
    let has_normal = || {
        let mut service = dispatcher.service.borrow_mut();
        let normal = Eligibility::Normal;
        service.choose_within(gateway.now(), route, tried, domains, normal).is_some()
    };
    let has_candidates = || {
        let mut service = dispatcher.service.borrow_mut();
        !service.probe_candidates_within(gateway.now(), tried, domains, 1).is_empty()
    };
    if has_normal() || !has_candidates() {
        return Eligibility::Normal;
    }
    let mut probes = start(gateway, table, dispatcher, tried, domains);
    if probes.is_empty() {
        // The budget is exhausted, so the choice has to use what is known.
        return Eligibility::Any;
    }
    let wait = async { while probes.next().await.is_some() && !has_normal() {} };
    // On timeout, the choice uses the reports received so far.
    let _elapsed = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    Eligibility::Normal
}

/// Probes upstreams of unknown condition while requests are queued, until the task is dropped.
pub async fn watch(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let Some(table) = gateway.table() else { continue };
        for dispatcher in gateway.dispatchers() {
            if dispatcher.queue_len() > 0 {
                // The probes run detached and serve the queue when they end.
                let domains = dispatcher.waiting_domains();
                drop(start(&gateway, &table, &dispatcher, &[], &domains));
            }
        }
    }
}

/// Asks upstreams whether they are cold, until the task is dropped.
pub async fn watch_temperatures(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(TEMPERATURE_INTERVAL).await;
        let Some(table) = gateway.table() else { continue };
        let (now, is_active) = (gateway.now(), gateway.activity.borrow().is_active());
        for dispatcher in gateway.limited_dispatchers() {
            let due = dispatcher.service.borrow_mut().temperature_checks(now, is_active);
            // The probes run detached.
            drop(start_probes(&gateway, &table, &dispatcher, due));
        }
    }
}

/// Starts probes of candidates whose condition is unknown.
fn start(
    gateway: &Rc<Gateway>,
    table: &Table,
    dispatcher: &Rc<Dispatcher>,
    tried: &[UpstreamId],
    domains: &Domains,
) -> FuturesUnordered<JoinHandle<()>> {
    let now = gateway.now();
    let mut service = dispatcher.service.borrow_mut();
    let candidates = service.probe_candidates_within(now, tried, domains, MAX_CANDIDATES);
    drop(service);
    start_probes(gateway, table, dispatcher, candidates)
}

fn start_probes(
    gateway: &Rc<Gateway>,
    table: &Table,
    dispatcher: &Rc<Dispatcher>,
    upstreams: Vec<UpstreamId>,
) -> FuturesUnordered<JoinHandle<()>> {
    let now = gateway.now();
    let res = FuturesUnordered::new();
    let Some(config) = table.services.get(&dispatcher.id) else { return res };
    for id in upstreams {
        let registration = dispatcher.service.borrow().get(&id).map(|it| it.registration.clone());
        let Some(registration) = registration else { continue };
        if !gateway.probe_budget.borrow_mut().take(now) {
            break;
        }
        let (gateway, dispatcher) = (Rc::clone(gateway), Rc::clone(dispatcher));
        let path = config.health_path.clone();
        // A probe runs on when the request no longer waits for it, so that its connection can be
        // reused.
        res.push(tokio::task::spawn_local(probe(gateway, dispatcher, registration, path)));
    }
    res
}

/// Requests the load of one upstream.
async fn probe(
    gateway: Rc<Gateway>,
    dispatcher: Rc<Dispatcher>,
    upstream: Registration,
    path: String,
) {
    gateway.metrics.probes.inc();
    let started = gateway.now();
    let probing = tokio::time::timeout(
        PROBE_TIMEOUT,
        exchange(&gateway, &upstream, &path, dispatcher.idle_limit()),
    );
    let Ok(Some(answer)) = probing.await else { return };
    gateway.record_notice(&upstream, &answer.head);
    let names = &gateway.protocol.names;
    if answer.head.text(names.instance).is_some_and(|it| it != &*upstream.id) {
        // The address belongs to another instance now, whose load says nothing about this one.
        return;
    }
    gateway.record_health(&dispatcher, &upstream, &answer.head);
    let load = answer.head.get(names.load);
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
    let taking = gateway.pool.take(upstream, now, PROBE_TIMEOUT * 20, PROBE_TIMEOUT);
    let connection = taking.await.ok()?;
    // The upstream may have withdrawn, or its domain may have been evacuated, while the connection was
    // opened.
    if !gateway.accepts_requests(upstream) {
        return None;
    }
    let head = http::request_head(&message(upstream, path), &[], &[]);
    let names = &gateway.protocol.names;
    let exchange = Exchange {
        head: &head,
        body: &Bytes::new(),
        method: b"GET",
        id_name: names.request_id,
        id: None,
        body_limit: MAX_BODY_BYTES,
        memory: &gateway.memory,
    };
    let completed = exchange.run(connection).await.ok()?;
    if !gateway.is_evacuated(&upstream.domain) {
        let (now, connection) = (gateway.now(), completed.connection);
        gateway.pool.put(upstream, now, connection, completed.keep_alive, idle_limit);
    }
    Some(completed.message)
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

//! Handles a request: route lookup, key, quota, time limit, capacity, attempts, reply.
//!
//! A status that promises that the request has not run (429, 503, 408, 421) is sent only if no
//! attempt can have run.

mod admission;
mod attempts;
mod forward;
mod guard;
mod refusal;
mod reply;

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use admission::Admission;
pub use guard::Guard;
pub use refusal::Refusal;
pub use reply::Reply;

use crate::{
    config::{Gap, Knowledge, Route, Table, Tenant},
    decision::{Origin, Trace},
    gateway::Gateway,
    http::{Head, Message},
    stop,
};

/// A value, or the refusal that is sent to the caller.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Answers one request. `table_before` is the configuration that was in force when its first bytes
/// arrived.
pub async fn answer(
    gateway: Rc<Gateway>,
    message: Message,
    received: Instant,
    table_before: Option<Rc<Table>>,
) -> Reply {
    let names = gateway.protocol.names;
    let id = message.head.get(names.request_id).cloned();
    let mut guard = Guard::new(&gateway, Trace::new(id.as_deref(), received));
    let is_head = &*message.head.method == b"HEAD";
    let res = run(&gateway, message, received, table_before, &mut guard.trace).await;
    let mut reply = match res {
        Ok(it) => {
            let is_signed = it.head.get(names.signature).is_some();
            guard.trace.origin = if is_signed { Origin::Upstream } else { Origin::Unsigned };
            Reply::forward(it)
        }
        Err(it) => {
            guard.trace.reason = it.reason;
            Reply::refuse(it, id.as_ref().map(|id| (names.request_id, id)))
        }
    };
    reply.without_body = is_head;
    guard.finish(reply.message.head.status);
    reply
}

async fn run(
    gateway: &Rc<Gateway>,
    message: Message,
    received: Instant,
    table_before: Option<Rc<Table>>,
    trace: &mut Trace,
) -> Result<Message> {
    let names = gateway.protocol.names;
    let admission = admit(gateway, &message.head, table_before, trace).await?;
    trace.route = Some(admission.route.id.clone());
    let route = &admission.route;
    let time_left = time_left(&message.head, names.deadline_ms, route)?;
    trace.time_left = time_left;
    if let Some(it) = &admission.tenant {
        trace.tenant = Some(it.id.clone());
        quota(gateway, it)?;
    }
    let service = gateway.choose_service(route).ok_or_else(Refusal::no_upstream)?;
    trace.service = Some(service.clone());
    // The dispatcher of a service that only an earlier configuration had may still be there.
    if !admission.table.services.contains_key(&service) {
        return Err(Refusal::no_upstream());
    }
    let dispatcher = gateway.dispatcher(&service).ok_or_else(Refusal::no_upstream)?;
    let work = stop::Work {
        received,
        deadline: received + time_left,
        service_time: dispatcher.expected_service_time(&route.id),
    };
    let mut deadline = work.deadline;
    if let Some(it) = gateway.stop.schedule() {
        if !it.accepts(gateway.now(), &work) {
            return Err(Refusal::leaving());
        }
        deadline = deadline.min(it.last_answers_at());
    }
    dispatcher.budget.borrow_mut().record_request(received);
    let context = attempts::Context {
        gateway,
        admission: &admission,
        dispatcher: &dispatcher,
        route,
        message: &message,
        received,
        deadline,
        work,
    };
    attempts::run(&context, trace).await
}

/// Finds route and tenant of a request. A refusal that is final rests on a configuration that is known
/// to be the newest.
async fn admit(
    gateway: &Gateway,
    head: &Head,
    table_before: Option<Rc<Table>>,
    trace: &mut Trace,
) -> Result<Admission> {
    let table = gateway.table().ok_or_else(Refusal::not_ready)?;
    trace.version = table.version;
    let denied = match Admission::new(gateway, Rc::clone(&table), head) {
        Ok(it) => return Ok(it),
        Err(it) => it,
    };
    trace.route = find(&table, head).ok().map(|it| it.id.clone());
    // It may have taken long to arrive, or to wait behind others on its connection.
    let earlier = table_before.filter(|it| !Rc::ptr_eq(it, &table));
    if let Some(Ok(_)) = earlier.map(|it| Admission::new(gateway, it, head)) {
        return Err(Refusal::route_changed());
    }
    if !denied.rests_on_config() {
        return Err(denied);
    }
    let limit = deadline(head, gateway.protocol.names.deadline_ms).ok().flatten();
    require_newest_config(gateway, limit.unwrap_or(Duration::MAX)).await?;
    let table = gateway.table().ok_or_else(Refusal::not_ready)?;
    trace.version = table.version;
    Admission::new(gateway, table, head)
}

/// Waits until the configuration is known to be the newest, for `limit` at most.
///
/// # Errors
///
/// The refusal of a request that a newer configuration may allow.
pub async fn require_newest_config(gateway: &Gateway, limit: Duration) -> Result<()> {
    let knowledge = tokio::select! {
        biased;
        it = gateway.await_confirmation(limit) => it,
        () = gateway.stop.requests_ended() => return Err(Refusal::leaving()),
    };
    match knowledge {
        Knowledge::Recent => Ok(()),
        Knowledge::Missing => Err(Refusal::not_ready()),
        Knowledge::Unreadable => Err(Refusal::config_incomplete()),
        Knowledge::Behind | Knowledge::Outdated => {
            Err(Refusal::config_outdated(gateway.confirmation_pause()))
        }
    }
}

/// Charges a request to the quota of its tenant.
fn quota(gateway: &Gateway, tenant: &Tenant) -> Result<()> {
    gateway.take_quota(gateway.now(), tenant).map_err(Refusal::quota)
}

fn find(table: &Table, head: &Head) -> Result<Arc<Route>> {
    let mut hosts = head.all("host");
    let host = hosts.next().and_then(|it| std::str::from_utf8(it).ok());
    let host = host.filter(|_| hosts.next().is_none());
    let host = host.ok_or_else(|| Refusal::bad_request("bad-host", "no host, or more than one"))?;
    let target = std::str::from_utf8(&head.target)
        .map_err(|_e| Refusal::bad_request("bad-target", "target that is no text"))?;
    let path = path_of(target);
    match table.find(host, path) {
        Some(it) => Ok(Arc::clone(it)),
        None if table.gaps.contains(&Gap::Routes) => Err(Refusal::config_incomplete()),
        None => Err(Refusal::no_route()),
    }
}

/// Path of a target in origin form, or in absolute form, as sent to proxies.
fn path_of(target: &str) -> &str {
    let Some((_scheme, rest)) = target.split_once("://").filter(|_| !target.starts_with('/'))
    else {
        return target;
    };
    rest.find('/').map_or("/", |start| &rest[start..])
}

/// Time limit of a request: the route's timeout, or the caller's deadline if that is sooner.
fn time_left(head: &Head, name: &str, route: &Route) -> Result<Duration> {
    Ok(deadline(head, name)?.map_or(route.timeout, |it| it.min(route.timeout)))
}

/// The caller's deadline, if it has one.
fn deadline(head: &Head, name: &str) -> Result<Option<Duration>> {
    let Some(text) = head.text(name) else { return Ok(None) };
    let milliseconds = text.trim().parse().ok().filter(|it: &f64| it.is_finite() && *it >= 0.0);
    let milliseconds = milliseconds.ok_or_else(|| {
        Refusal::bad_request("bad-deadline", "deadline that is no number of milliseconds from 0 on")
    })?;
    // A deadline beyond the range of the type is beyond every timeout.
    Ok(Some(Duration::try_from_secs_f64(milliseconds / 1_000.0).unwrap_or(Duration::MAX)))
}

//! The path of a request: route, time left, admission, attempts, reply.
//!
//! A status that promises that the request has not run (429, 503, 408, 421) is told only if no
//! attempt can have run.

mod attempts;
mod refusal;
mod reply;
mod sending;
mod work;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

pub use refusal::Refusal;
pub use reply::Reply;
pub use work::Work;

use crate::{
    config::{Route, Table},
    decision::Trail,
    gateway::Gateway,
    http::{Head, Message},
};

/// A value, or the refusal that the caller gets in its place.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Answers one request.
pub async fn answer(gateway: Rc<Gateway>, message: Message, received: Instant) -> Reply {
    let names = gateway.protocol.names;
    let id = message.head.get(names.request_id).cloned();
    let mut work = Work::new(&gateway, Trail::new(id.as_deref(), received));
    let is_head = &*message.head.method == b"HEAD";
    let res = run(&gateway, message, received, &mut work.trail).await;
    let mut reply = match res {
        Ok(it) => Reply::forward(it),
        Err(it) => {
            work.trail.reason = it.reason;
            Reply::refuse(it, id.as_ref().map(|id| (names.request_id, id)))
        }
    };
    reply.without_body = is_head;
    work.end(reply.message.head.status);
    reply
}

async fn run(
    gateway: &Rc<Gateway>,
    message: Message,
    received: Instant,
    trail: &mut Trail,
) -> Result<Message> {
    let table = gateway.table().ok_or_else(Refusal::not_ready)?;
    trail.version = table.version;
    let route = find(&table, &message.head)?;
    trail.route = Some(route.id.clone());
    let left = time_left(&message.head, gateway.protocol.names.deadline_ms, &route)?;
    trail.left = left;
    let service = gateway.split(&route).ok_or_else(Refusal::no_upstream)?;
    trail.service = Some(service.clone());
    let desk = gateway.desk(&service).ok_or_else(Refusal::no_upstream)?;
    desk.budget.borrow_mut().record_request(received);
    let job = attempts::Job {
        gateway,
        table: &table,
        desk: &desk,
        route: &route,
        message: &message,
        received,
        deadline: received + left,
    };
    attempts::run(&job, trail).await
}

fn find(table: &Table, head: &Head) -> Result<Rc<Route>> {
    let mut hosts = head.all("host");
    let host = hosts.next().and_then(|it| std::str::from_utf8(it).ok());
    let host = host.filter(|_| hosts.next().is_none());
    let host = host.ok_or_else(|| Refusal::bad_request("no host, or more than one"))?;
    let target = std::str::from_utf8(&head.target)
        .map_err(|_e| Refusal::bad_request("target that is no text"))?;
    let path = path_of(target);
    let route = table.find(host, path).ok_or_else(Refusal::no_route)?;
    Ok(Rc::new(Route::clone(route)))
}

/// Path of a target in origin form, or in absolute form, which proxies use.
fn path_of(target: &str) -> &str {
    let Some((_scheme, rest)) = target.split_once("://").filter(|_| !target.starts_with('/'))
    else {
        return target;
    };
    rest.find('/').map_or("/", |start| &rest[start..])
}

/// Time that is left for a request: its route's timeout, or the caller's own deadline if sooner.
fn time_left(head: &Head, name: &str, route: &Route) -> Result<Duration> {
    let Some(text) = head.text(name) else { return Ok(route.timeout) };
    let deadline: u64 = text
        .trim()
        .parse()
        .map_err(|_e| Refusal::bad_request("deadline that is no whole number of milliseconds"))?;
    Ok(route.timeout.min(Duration::from_millis(deadline)))
}

//! One service on this host: the choice of upstreams, the requests that wait, the retry budget.

mod flight;
mod refusal;
mod ticket;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use clock::Clock;
use tokio::sync::oneshot;

pub use flight::Flight;
pub use refusal::Refusal;
use ticket::Ticket;

use crate::{
    config::{Route, RouteId, ServiceId},
    load::{Budget, Eligibility, Queue, Service, Waiter},
    registry::UpstreamId,
};

/// A flight, or why there is none.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Share of the time left that a request may be expected to wait; beyond it, it is refused at once.
const WAIT_SHARE: f64 = 0.5;
/// Shortest advice to a caller that is refused.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest advice to a caller that is refused.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time for which a request waits for an upstream that works at its usual pace. Disturbances by
/// neighbours last a fraction of a second.
const PATIENCE: Duration = Duration::from_millis(150);
/// Idle connections that a daemon keeps to one upstream at most.
const MAX_IDLE: usize = 16;
/// The idle connections of all daemons take one part in so many of those that an upstream accepts.
const IDLE_PART: u32 = 2;
/// Requests at the head of the queue that are considered for room; those behind wait for the same.
const MAX_HEADS: usize = 8;
/// Factor of the mean work that covers its spread.
const SPREAD: f64 = 1.2;

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Upstreams that it must not be sent to again.
    pub tried: &'a [UpstreamId],
    /// When the request was read.
    pub received: Instant,
    /// When the caller must have its answer.
    pub deadline: Instant,
}

/// What a request that waits is told by, and what it asks for.
struct Waiting {
    reply: oneshot::Sender<Result<Flight>>,
    route: RouteId,
    tried: Vec<UpstreamId>,
}

/// One service on this host.
pub struct Desk {
    /// Name of the service.
    pub id: ServiceId,
    /// Choice of upstreams.
    pub service: RefCell<Service>,
    /// Budget for attempts beyond the first.
    pub budget: RefCell<Budget>,
    queue: RefCell<Queue>,
    waiting: RefCell<HashMap<u64, Waiting>>,
    daemons: Cell<u32>,
    connection_limit: Cell<u32>,
    clock: Arc<dyn Clock>,
    changed: Rc<dyn Fn(&UpstreamId)>,
}

impl Desk {
    /// A desk for `service`; `changed` is told of each upstream whose requests in flight change.
    #[must_use]
    pub fn new(
        id: ServiceId,
        service: Service,
        budget: Budget,
        clock: Arc<dyn Clock>,
        changed: Rc<dyn Fn(&UpstreamId)>,
    ) -> Self {
        Self {
            id,
            service: RefCell::new(service),
            budget: RefCell::new(budget),
            queue: RefCell::default(),
            waiting: RefCell::default(),
            daemons: Cell::new(1),
            connection_limit: Cell::new(0),
            clock,
            changed,
        }
    }

    /// Sets the number of daemons that share the upstreams.
    pub fn set_daemons(&self, daemons: u32) {
        self.daemons.set(daemons.max(1));
    }

    /// Sets the connections that one upstream accepts from all daemons; 0 if it isn't known.
    pub fn set_connection_limit(&self, limit: u32) {
        self.connection_limit.set(limit);
    }

    /// Idle connections that this daemon may keep to one upstream.
    #[must_use]
    pub fn idle_limit(&self) -> usize {
        let limit = self.connection_limit.get();
        if limit == 0 {
            return MAX_IDLE;
        }
        let share = limit / self.daemons.get() / IDLE_PART;
        usize::try_from(share).unwrap_or(MAX_IDLE).clamp(1, MAX_IDLE)
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.borrow().len()
    }

    /// An upstream that can take the request now, unless others wait for room.
    #[must_use]
    pub fn take_now(
        self: &Rc<Self>,
        now: Instant,
        demand: &Demand<'_>,
        eligibility: Eligibility,
    ) -> Option<Flight> {
        if !self.queue.borrow().is_empty() {
            return None;
        }
        self.depart(now, &demand.route.id, demand.tried, eligibility)
    }

    /// Waits until an upstream has room.
    ///
    /// # Errors
    ///
    /// Refuses at once if no upstream takes work or the wait is expected to be too long, and later if
    /// no answer can be in time any more.
    pub async fn wait(self: &Rc<Self>, now: Instant, demand: &Demand<'_>) -> Result<Flight> {
        let service_time = self.expected(&demand.route.id);
        if !self.service.borrow().accepts_requests() {
            return Err(Refusal::no_upstream());
        }
        let wait = self.expected_wait(demand.route.priority, service_time);
        let left = demand.deadline.saturating_duration_since(now);
        if wait > left.saturating_sub(service_time).mul_f64(WAIT_SHARE) {
            return Err(Refusal::overload(advice(wait)));
        }
        let priority = demand.route.priority;
        let target = demand.received + demand.route.target_latency;
        let waiter =
            Waiter { priority, since: now, target, deadline: demand.deadline, service_time };
        let serial = self.queue.borrow_mut().push(waiter);
        let (reply, receiver) = oneshot::channel();
        let (route, tried) = (demand.route.id.clone(), demand.tried.to_vec());
        self.waiting.borrow_mut().insert(serial, Waiting { reply, route, tried });
        let _ticket = Ticket { desk: self, priority, serial };
        self.pump(now);
        receiver.await.unwrap_or_else(|_closed| Err(Refusal::overload(advice(wait))))
    }

    /// Gives room that has become free to requests that wait, and refuses those that can't be
    /// answered in time any more.
    pub fn pump(self: &Rc<Self>, now: Instant) {
        if self.queue.borrow().is_empty() {
            return;
        }
        let late = self.queue.borrow_mut().tick(now);
        for it in late {
            self.reply(it, Err(Refusal::overload(MIN_RETRY_AFTER)));
        }
        // What one request can't be sent to, later ones of the same kind can't either.
        while let Some((priority, serial, flight)) = self.next_departure(now) {
            self.queue.borrow_mut().remove(priority, serial);
            self.reply(serial, Ok(flight));
        }
    }

    /// The first request that waits and has an upstream to go to.
    fn next_departure(self: &Rc<Self>, now: Instant) -> Option<(u8, u64, Flight)> {
        let heads: Vec<_> = {
            let queue = self.queue.borrow();
            let head = |(serial, it): (u64, &Waiter)| {
                let is_patient = now.saturating_duration_since(it.since) < PATIENCE;
                (
                    it.priority,
                    serial,
                    if is_patient { Eligibility::Normal } else { Eligibility::NormalOrIdle },
                )
            };
            queue.iter().take(MAX_HEADS).map(head).collect()
        };
        for (priority, serial, eligibility) in heads {
            let wanted =
                self.waiting.borrow().get(&serial).map(|it| (it.route.clone(), it.tried.clone()));
            let Some((route, tried)) = wanted else { continue };
            if let Some(it) = self.depart(now, &route, &tried, eligibility) {
                return Some((priority, serial, it));
            }
        }
        None
    }

    /// Time that a request of a route is expected to take once it is sent.
    #[must_use]
    pub fn expected(&self, route: &str) -> Duration {
        self.service.borrow().service_time(route).mul_f64(SPREAD)
    }

    fn expected_wait(&self, priority: u8, service_time: Duration) -> Duration {
        let own = self.service.borrow().capacity() / f64::from(self.daemons.get());
        let ahead = self.queue.borrow().ahead(priority) as f64;
        service_time.mul_f64(ahead / own.max(0.5))
    }

    fn depart(
        self: &Rc<Self>,
        now: Instant,
        route: &str,
        tried: &[UpstreamId],
        eligibility: Eligibility,
    ) -> Option<Flight> {
        let mut service = self.service.borrow_mut();
        let id = service.choose(now, route, tried, eligibility)?;
        let registration = service.get(&id)?.registration.clone();
        let serial = service.start(now, &id);
        drop(service);
        (self.changed)(&id);
        Some(Flight::new(Rc::clone(self), registration, serial, now))
    }

    fn reply(&self, serial: u64, res: Result<Flight>) {
        let waiting = self.waiting.borrow_mut().remove(&serial);
        if let Some(it) = waiting {
            // The caller may have gone; a flight that comes back gives its place free.
            drop(it.reply.send(res));
        }
    }
}

fn advice(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

//! Dispatches the requests for one service: upstream choice, queue and retry budget.

mod entry;
mod refusal;
mod reservation;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use clock::Clock;
use tokio::sync::oneshot;

use entry::Entry;
pub use refusal::Refusal;
pub use reservation::Reservation;

use crate::{
    config::{Route, RouteId, ServiceId, TenantId},
    load::{Budget, Domains, Eligibility, Queue, Service, Upstream, Waiter},
    registry::UpstreamId,
};

/// A reservation, or why there is none.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Shortest `Retry-After` while all upstreams pause.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Time for which a request waits for an upstream at normal pace. Interference by other processes
/// on an upstream's machine lasts a fraction of a second.
const MAX_NORMAL_WAIT: Duration = Duration::from_millis(150);
/// Maximum number of idle connections that a daemon keeps to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// The idle connections of all daemons together may use one in this many of the connections that an
/// upstream accepts.
const IDLE_DIVISOR: u32 = 2;
/// Number of requests at the head of the queue that are considered when capacity becomes free.
/// Those behind need the same capacity.
const MAX_CANDIDATES: usize = 8;
/// Factor of the mean service time that covers most of its variation.
const SERVICE_TIME_MARGIN: f64 = 1.2;

/// A request to dispatch.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Priority of the request, which may be that of its tenant; 0 is the most urgent.
    pub priority: u8,
    /// Tenant of the request, if it has one.
    pub tenant: Option<TenantId>,
    /// Failure domains whose upstreams it may be sent to.
    pub domains: Domains,
    /// Upstreams that it must not be sent to again.
    pub tried: &'a [UpstreamId],
    /// When the request was read.
    pub received: Instant,
    /// When the caller must have its answer.
    pub deadline: Instant,
    /// Time that its caller had left when it was read, at most the limit of the route.
    pub time_limit: Duration,
}

/// A waiting request, with the channel for its result.
struct Waiting {
    reply: oneshot::Sender<Result<Reservation>>,
    route: RouteId,
    domains: Domains,
    tried: Vec<UpstreamId>,
}

/// Dispatcher of one service on this host.
pub struct Dispatcher {
    /// Name of the service.
    pub id: ServiceId,
    /// Upstream choice.
    pub service: RefCell<Service>,
    /// Budget for attempts beyond the first.
    pub budget: RefCell<Budget>,
    queue: RefCell<Queue>,
    waiting: RefCell<HashMap<u64, Waiting>>,
    /// Number of waiting requests that may be sent to some failure domains only.
    restricted: Cell<usize>,
    daemon_count: Cell<u32>,
    active_count: Cell<u32>,
    connection_limit: Cell<u32>,
    clock: Arc<dyn Clock>,
    on_load_change: Rc<dyn Fn(&UpstreamId)>,
}

impl Dispatcher {
    /// Creates a dispatcher for `service` with an empty queue. `on_load_change` is called for each
    /// upstream whose number of requests in flight changes.
    #[must_use]
    pub fn new(
        id: ServiceId,
        service: Service,
        budget: Budget,
        queue: Queue,
        clock: Arc<dyn Clock>,
        on_load_change: Rc<dyn Fn(&UpstreamId)>,
    ) -> Self {
        Self {
            id,
            service: RefCell::new(service),
            budget: RefCell::new(budget),
            queue: RefCell::new(queue),
            waiting: RefCell::default(),
            restricted: Cell::new(0),
            daemon_count: Cell::new(1),
            active_count: Cell::new(1),
            connection_limit: Cell::new(0),
            clock,
            on_load_change,
        }
    }

    /// Sets the number of daemons that share the upstreams.
    pub fn set_daemon_count(&self, daemon_count: u32) {
        self.daemon_count.set(daemon_count.max(1));
    }

    /// Sets the number of daemons that callers use, this one among them.
    pub fn set_active_count(&self, active_count: u32) {
        self.active_count.set(active_count.max(1));
    }

    /// Sets the number of connections that one upstream accepts from all daemons; 0 if unknown.
    pub fn set_connection_limit(&self, limit: u32) {
        self.connection_limit.set(limit);
    }

    /// Number of idle connections that this daemon may keep to one upstream.
    #[must_use]
    pub fn idle_limit(&self) -> usize {
        let limit = self.connection_limit.get();
        if limit == 0 {
            return MAX_IDLE_CONNECTIONS;
        }
        let share = limit / self.daemon_count.get() / IDLE_DIVISOR;
        usize::try_from(share).unwrap_or(MAX_IDLE_CONNECTIONS).clamp(1, MAX_IDLE_CONNECTIONS)
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Reserves an upstream for the request, unless other requests are waiting.
    #[must_use]
    pub fn try_reserve(
        self: &Rc<Self>,
        now: Instant,
        request: &Request<'_>,
        eligibility: Eligibility,
    ) -> Option<Reservation> {
        if !self.queue.borrow().is_empty() {
            return None;
        }
        let res =
            self.reserve(now, &request.route.id, request.tried, &request.domains, eligibility)?;
        self.queue.borrow_mut().record_sent(now, &self.waiter(now, request));
        Some(res)
    }

    /// Waits until an upstream has free capacity.
    ///
    /// # Errors
    ///
    /// Refuses immediately if no upstream accepts requests or the expected wait is too long, and
    /// later if the request can no longer be answered in time.
    pub async fn wait(self: &Rc<Self>, now: Instant, request: &Request<'_>) -> Result<Reservation> {
        self.check_open(now, request.tried, &request.domains)?;
        self.service.borrow_mut().record_held(now, request.tried);
        let waiter = self.waiter(now, request);
        self.update_slots(now);
        let serial = self.queue.borrow_mut().offer(now, waiter).map_err(Refusal::from)?;
        let (reply, receiver) = oneshot::channel();
        let (route, tried) = (request.route.id.clone(), request.tried.to_vec());
        let domains = request.domains.clone();
        self.waiting.borrow_mut().insert(serial, Waiting { reply, route, domains, tried });
        let is_restricted = request.domains.is_restricted();
        self.restricted.set(self.restricted.get() + usize::from(is_restricted));
        let _entry = Entry { dispatcher: self, serial, is_restricted };
        self.serve_queue(now);
        receiver.await.unwrap_or_else(|_closed| Err(Refusal::no_upstream()))
    }

    /// Assigns free capacity to waiting requests, and refuses those that can no longer be answered
    /// in time.
    pub fn serve_queue(self: &Rc<Self>, now: Instant) {
        if self.queue.borrow().is_empty() {
            return;
        }
        self.update_slots(now);
        let refused = self.queue.borrow_mut().tick(now);
        for it in refused {
            self.reply(it.serial, Err(it.into()));
        }
        if let Err(refusal) = self.check_open(now, &[], &Domains::All) {
            self.refuse_all(refusal);
            return;
        }
        self.refuse_closed(now);
        // Upstreams that are unavailable to one request are unavailable to later ones of the same
        // kind.
        while let Some((serial, reservation)) = self.next_reservation(now) {
            self.queue.borrow_mut().grant(now, serial);
            self.reply(serial, Ok(reservation));
        }
    }

    /// Failure domains that the waiting requests together may be sent to.
    #[must_use]
    pub fn waiting_domains(&self) -> Domains {
        if self.restricted.get() == 0 {
            return Domains::All;
        }
        let waiting = self.waiting.borrow();
        let all = waiting.values().map(|it| it.domains.clone());
        all.reduce(|a, b| a.union(&b)).unwrap_or_default()
    }

    /// Checks that an upstream in `domains` and outside `tried` accepts requests.
    fn check_open(&self, now: Instant, tried: &[UpstreamId], domains: &Domains) -> Result<()> {
        match self.service.borrow().accepts_after_within(now, tried, domains) {
            Some(Duration::ZERO) => Ok(()),
            Some(pause) => Err(Refusal::paused(pause.max(MIN_RETRY_AFTER))),
            None => Err(Refusal::no_upstream()),
        }
    }

    fn refuse_all(&self, refusal: Refusal) {
        let waiting: Vec<_> = self.queue.borrow().iter().map(|(serial, _)| serial).collect();
        for serial in waiting {
            self.queue.borrow_mut().remove(serial);
            self.reply(serial, Err(refusal));
        }
    }

    /// Refuses the waiting requests in whose failure domains no upstream accepts requests any more.
    fn refuse_closed(&self, now: Instant) {
        if self.restricted.get() == 0 {
            return;
        }
        let mut refusals = HashMap::new();
        let mut closed = Vec::new();
        for (serial, it) in self.waiting.borrow().iter() {
            let check = || self.check_open(now, &[], &it.domains).err();
            let refusal = refusals.entry(it.domains.clone()).or_insert_with(check);
            closed.extend(refusal.map(|refusal| (*serial, refusal)));
        }
        for (serial, refusal) in closed {
            // Its entry in the queue is removed when the request ends.
            self.reply(serial, Err(refusal));
        }
    }

    /// Reserves an upstream for the first waiting request that has one available.
    fn next_reservation(self: &Rc<Self>, now: Instant) -> Option<(u64, Reservation)> {
        let candidates: Vec<_> = {
            let queue = self.queue.borrow();
            let candidate = |(serial, it): (u64, &Waiter)| {
                let is_recent = now.saturating_duration_since(it.since) < MAX_NORMAL_WAIT;
                (serial, if is_recent { Eligibility::Normal } else { Eligibility::NormalOrIdle })
            };
            if self.restricted.get() == 0 {
                queue.iter().take(MAX_CANDIDATES).map(candidate).collect()
            } else {
                // Requests for other failure domains need other capacity.
                let waiting = self.waiting.borrow();
                let mut counts = HashMap::new();
                let mut is_first = |serial: u64| {
                    let Some(it) = waiting.get(&serial) else { return false };
                    let count = counts.entry(&it.domains).or_insert(0);
                    *count += 1;
                    *count <= MAX_CANDIDATES
                };
                queue.iter().filter(|(serial, _)| is_first(*serial)).map(candidate).collect()
            }
        };
        for (serial, eligibility) in candidates {
            let waiting = {
                let waiting = self.waiting.borrow();
                waiting
                    .get(&serial)
                    .map(|it| (it.route.clone(), it.domains.clone(), it.tried.clone()))
            };
            let Some((route, domains, tried)) = waiting else { continue };
            if let Some(it) = self.reserve(now, &route, &tried, &domains, eligibility) {
                return Some((serial, it));
            }
        }
        None
    }

    /// Expected service time of a route's requests.
    #[must_use]
    pub fn expected_service_time(&self, route: &str) -> Duration {
        self.service.borrow().service_time(route).mul_f64(SERVICE_TIME_MARGIN)
    }

    fn waiter(&self, now: Instant, request: &Request<'_>) -> Waiter {
        let work = self.service.borrow().work(&request.route.id);
        Waiter {
            route: request.route.id.clone(),
            tenant: request.tenant.clone(),
            priority: request.priority,
            received: request.received,
            since: now,
            target_latency: request.route.target_latency,
            target: request.received + request.route.target_latency,
            deadline: request.deadline,
            time_limit: request.time_limit,
            service_time: work.likely(),
            work: work.mean(),
        }
    }

    /// Tells the queue how many slots this daemon may expect for itself: those that it holds, or an
    /// equal share if that is more. Slots that it holds usually stay its own while all are in use,
    /// since it is the first to learn that one is free.
    fn update_slots(&self, now: Instant) {
        let service = self.service.borrow();
        let equal = service.capacity(now) / f64::from(self.active_count.get());
        let held: u32 = service.iter().map(Upstream::own_in_flight).sum();
        self.queue.borrow_mut().set_slots(equal.max(held.into()));
    }

    fn reserve(
        self: &Rc<Self>,
        now: Instant,
        route: &str,
        tried: &[UpstreamId],
        domains: &Domains,
        eligibility: Eligibility,
    ) -> Option<Reservation> {
        let mut service = self.service.borrow_mut();
        let id = service.choose_within(now, route, tried, domains, eligibility)?;
        let registration = service.get(&id)?.registration.clone();
        let serial = service.start(now, &id);
        drop(service);
        (self.on_load_change)(&id);
        Some(Reservation::new(Rc::clone(self), registration, serial, now))
    }

    fn reply(&self, serial: u64, res: Result<Reservation>) {
        let waiting = self.waiting.borrow_mut().remove(&serial);
        if let Some(it) = waiting {
            // If the caller has closed its connection, dropping the reservation releases it.
            drop(it.reply.send(res));
        }
    }
}

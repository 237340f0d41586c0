//! What a daemon holds for one service: admission, choice of upstreams, connections.

pub mod flight;
pub mod leaving;
pub mod parts;
pub mod permit;
pub mod queue;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::{Duration, Instant},
};

use admission::{Event, Gate, RequestId, Verdict};
use balance::{Balancer, Dispatch, UpstreamId};
use clock::Clock;
use tokio::sync::{Notify, oneshot};

use crate::{state::lock, upstream::pool::Pool};

pub use flight::Flight;
use leaving::Leaving;
pub use parts::Parts;
pub use permit::Permit;
use queue::Queue;

type Pools = HashMap<UpstreamId, Arc<Pool>>;

/// What a daemon holds for one service. Survives changes of the configuration.
pub struct Service {
    clock: Arc<dyn Clock>,
    config: RwLock<Arc<document::Service>>,
    queue: Mutex<Queue>,
    balancer: Mutex<Balancer>,
    retries: Mutex<admission::Budget>,
    pools: RwLock<Pools>,
    leaving: Mutex<Leaving>,
    finished: Notify,
    queued: Arc<Notify>,
}

impl Service {
    /// A service without any traffic yet; it wakes `queued` when a request begins to wait.
    #[must_use]
    pub fn new(parts: &Parts, clock: Arc<dyn Clock>, queued: Arc<Notify>) -> Self {
        let now = clock.now();
        let settings = balance::Settings {
            probe_budget_per_s: parts.service.probe_budget_per_s,
            ..balance::Settings::default()
        };
        let domain = Arc::clone(&parts.domain);
        let mut balancer = Balancer::new(settings, domain, parts.balanced(), parts.seed, now);
        balancer.set_hosts(now, parts.hosts);
        let capacity = balancer.capacity(now);
        let gate = Gate::new(now, parts.gate_settings(), &parts.ranks, capacity);
        let retries = admission::Budget::new(now, parts.service.retry_budget_percent);
        let res = Self {
            clock,
            config: RwLock::new(Arc::clone(&parts.service)),
            queue: Mutex::new(Queue { gate, waiting: HashMap::new() }),
            balancer: Mutex::new(balancer),
            retries: Mutex::new(retries),
            pools: RwLock::default(),
            leaving: Mutex::default(),
            finished: Notify::new(),
            queued,
        };
        res.update_pools(parts);
        res
    }

    /// Takes in a new version of the configuration; requests in progress go on.
    pub fn update(&self, parts: &Parts) {
        let now = self.clock.now();
        self.update_pools(parts);
        {
            let mut balancer = self.balancer();
            balancer.set_upstreams(now, parts.balanced());
            balancer.set_probe_budget(now, parts.service.probe_budget_per_s);
        }
        lock(&self.retries).set_percent(parts.service.retry_budget_percent);
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = Arc::clone(&parts.service);
        let mut queue = lock(&self.queue);
        queue.gate.set_settings(parts.gate_settings());
        let events = queue.gate.set_ranks(now, &parts.ranks);
        queue.deliver(events);
        drop(queue);
        self.refresh();
    }

    /// Takes in how many entry hosts may be at work; they share upstreams and probe budget.
    pub fn set_hosts(&self, hosts: u32) {
        self.balancer().set_hosts(self.clock.now(), hosts);
        self.refresh();
    }

    /// Takes in which upstreams the host list marks as leaving.
    pub fn set_listed_leaving(&self, listed: HashSet<UpstreamId>) {
        lock(&self.leaving).set_listed(listed);
        self.apply_leaving();
    }

    /// Takes in that an upstream turned a request away because it is leaving.
    pub fn said_leaving(&self, upstream: &UpstreamId) {
        lock(&self.leaving).said(Arc::clone(upstream), self.clock.now());
        self.apply_leaving();
    }

    /// Addresses of upstreams that turned a request away because they are leaving.
    #[must_use]
    pub fn said_to_leave(&self) -> Vec<SocketAddr> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        let leaving = lock(&self.leaving);
        leaving.said_so().filter_map(|it| Some(pools.get(it)?.address())).collect()
    }

    fn apply_leaving(&self) {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        let leaving = lock(&self.leaving);
        let mut balancer = self.balancer();
        for it in pools.keys() {
            balancer.set_leaving(it, leaving.contains(it));
        }
    }

    /// Requests in flight and waiting, for the peers.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        let snapshot = self.snapshot();
        let in_flight = snapshot.lanes.iter().map(|it| it.in_flight).sum();
        let queued: usize = snapshot.lanes.iter().map(|it| it.queued).sum();
        (in_flight, u32::try_from(queued).unwrap_or(u32::MAX))
    }

    /// Limits of the service.
    #[must_use]
    pub fn config(&self) -> Arc<document::Service> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// The choice of upstreams; held for moments only.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    /// The retry budget; held for moments only.
    pub fn retries(&self) -> MutexGuard<'_, admission::Budget> {
        lock(&self.retries)
    }

    /// Connections to an upstream; `None` if the configuration no longer names it.
    #[must_use]
    pub fn pool(&self, upstream: &UpstreamId) -> Option<Arc<Pool>> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.get(upstream).cloned()
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// The refusal, if the request isn't let in, loses its place or can't be answered in time any
    /// more. The request was not dispatched.
    pub async fn admit(
        self: &Arc<Self>,
        request: admission::Request,
    ) -> Result<Permit, admission::Refusal> {
        let id = request.id;
        let (deliver, delivered) = oneshot::channel();
        let verdict = {
            let now = self.clock.now();
            let capacity = self.balancer().capacity(now);
            let mut queue = lock(&self.queue);
            queue.set_capacity(now, capacity);
            let verdict = queue.gate.offer(now, request);
            if let Verdict::Queued { displaced } = verdict {
                queue.waiting.insert(id, deliver);
                if let Some(it) = displaced {
                    queue.waiting.remove(&it.id);
                }
            }
            verdict
        };
        // From here on the permit gives the slot, or the place in the queue, back when dropped.
        match verdict {
            Verdict::Refused(it) => return Err(it),
            Verdict::Admitted => {
                return Ok(Permit::holding(Arc::clone(self), id));
            }
            Verdict::Queued { .. } => {}
        }
        self.queued.notify_one();
        let mut permit = Permit::waiting(Arc::clone(self), id);
        match delivered.await {
            Ok(Event::Admit(_)) => {
                permit.admitted();
                Ok(permit)
            }
            Ok(Event::Expire(_)) => Err(refusal(admission::Reason::Deadline)),
            Err(_displaced) => Err(refusal(admission::Reason::QueueFull)),
        }
    }

    /// Chooses an upstream, waiting for room if none has any, until `deadline`.
    ///
    /// # Errors
    ///
    /// The reason why there is no upstream.
    pub async fn choose(
        self: &Arc<Self>,
        tried: &[UpstreamId],
        deadline: Instant,
    ) -> balance::Result<Flight> {
        loop {
            let refusal = match self.balancer().choose(self.clock.now(), tried) {
                Ok(choice) => return Ok(Flight::new(Arc::clone(self), choice)),
                Err(it) => it,
            };
            let waited = self.clock.now() + refusal.retry_after;
            if refusal.reason != balance::Reason::Full || waited >= deadline {
                return Err(refusal);
            }
            tokio::select! {
                () = self.finished.notified() => {}
                () = tokio::time::sleep_until(waited.into()) => {}
            }
        }
    }

    /// Chooses an upstream that has room now, if any has.
    #[must_use]
    pub fn choose_now(self: &Arc<Self>, tried: &[UpstreamId]) -> Option<Flight> {
        let choice = self.balancer().choose(self.clock.now(), tried).ok()?;
        Some(Flight::new(Arc::clone(self), choice))
    }

    /// Moves time on for requests that wait; tells whether there are any.
    pub fn tick(&self) -> bool {
        let has_expired = lock(&self.leaving).expire(self.clock.now());
        if has_expired {
            self.apply_leaving();
        }
        if lock(&self.queue).waiting.is_empty() {
            return false;
        }
        self.refresh();
        true
    }

    /// State of admission, for status pages and metrics.
    #[must_use]
    pub fn snapshot(&self) -> admission::Snapshot {
        lock(&self.queue).gate.snapshot()
    }

    fn land(&self, dispatch: Dispatch, answer: balance::Completion) {
        self.balancer().finished(self.clock.now(), dispatch, answer);
        self.finished.notify_one();
    }

    /// Lets the gate give out as many slots as the upstreams have room for.
    fn refresh(&self) {
        let now = self.clock.now();
        let capacity = self.balancer().capacity(now);
        let mut queue = lock(&self.queue);
        queue.set_capacity(now, capacity);
        let events = queue.gate.tick(now);
        queue.deliver(events);
    }

    fn update_pools(&self, parts: &Parts) {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        let known = std::mem::take(&mut *pools);
        for it in &parts.upstreams {
            let kept = known.get(&it.id).filter(|pool| pool.address() == it.address).cloned();
            let pool = kept.unwrap_or_else(|| Arc::new(Pool::new(it.address, it.slots as usize)));
            pools.insert(Arc::clone(&it.id), pool);
        }
    }

    fn release(&self, id: RequestId, waits: bool, served: Option<Duration>) {
        let now = self.clock.now();
        let capacity = self.balancer().capacity(now);
        let mut queue = lock(&self.queue);
        queue.set_capacity(now, capacity);
        queue.waiting.remove(&id);
        let events =
            if waits { queue.gate.cancel(now, id) } else { queue.gate.release(now, id, served) };
        queue.deliver(events);
    }
}

fn refusal(reason: admission::Reason) -> admission::Refusal {
    let retry_after = admission::Settings::default().max_retry_after;
    admission::Refusal { reason, retry_after }
}

//! State of one service: admission queue, balancer, retry budget, connections.

pub mod in_flight;
pub mod leaving;
pub mod permit;
pub mod queue;
pub mod spec;

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

pub use in_flight::InFlight;
use leaving::Leaving;
pub use permit::Permit;
use queue::Queue;
pub use spec::Spec;

type Pools = HashMap<UpstreamId, Arc<Pool>>;

/// State of one service. It is kept across changes of the configuration.
pub struct Service {
    clock: Arc<dyn Clock>,
    config: RwLock<Arc<document::Service>>,
    queue: Mutex<Queue>,
    balancer: Mutex<Balancer>,
    retries: Mutex<admission::Budget>,
    pools: RwLock<Pools>,
    leaving: Mutex<Leaving>,
    attempt_finished: Notify,
    request_queued: Arc<Notify>,
}

impl Service {
    /// Creates a service without traffic. It notifies `request_queued` when a request is queued.
    #[must_use]
    pub fn new(spec: &Spec, clock: Arc<dyn Clock>, request_queued: Arc<Notify>) -> Self {
        let now = clock.now();
        let settings = balance::Settings {
            probe_budget_per_s: spec.service.probe_budget_per_s,
            ..balance::Settings::default()
        };
        let domain = Arc::clone(&spec.domain);
        let mut balancer =
            Balancer::new(settings, domain, spec.balancer_upstreams(), spec.seed, now);
        balancer.set_hosts(now, spec.hosts);
        let capacity = balancer.capacity(now);
        let gate = Gate::new(now, spec.gate_settings(), &spec.ranks, capacity);
        let retries = admission::Budget::new(now, spec.service.retry_budget_percent);
        let res = Self {
            clock,
            config: RwLock::new(Arc::clone(&spec.service)),
            queue: Mutex::new(Queue { gate, waiting: HashMap::new() }),
            balancer: Mutex::new(balancer),
            retries: Mutex::new(retries),
            pools: RwLock::default(),
            leaving: Mutex::default(),
            attempt_finished: Notify::new(),
            request_queued,
        };
        res.update_pools(spec);
        res
    }

    /// Applies a new version of the configuration; requests in progress are not affected.
    pub fn update(&self, spec: &Spec) {
        let now = self.clock.now();
        self.update_pools(spec);
        {
            let mut balancer = self.balancer();
            balancer.set_upstreams(now, spec.balancer_upstreams());
            balancer.set_probe_budget(now, spec.service.probe_budget_per_s);
        }
        lock(&self.retries).set_percent(spec.service.retry_budget_percent);
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = Arc::clone(&spec.service);
        let mut queue = lock(&self.queue);
        queue.gate.set_settings(spec.gate_settings());
        let events = queue.gate.set_ranks(now, &spec.ranks);
        queue.deliver(events);
        drop(queue);
        self.update_capacity();
    }

    /// Sets how many entry hosts may be running; they share upstreams and probe budget.
    pub fn set_hosts(&self, hosts: u32) {
        self.balancer().set_hosts(self.clock.now(), hosts);
        self.update_capacity();
    }

    /// Sets which upstreams are marked as leaving.
    pub fn set_listed_leaving(&self, listed: HashSet<UpstreamId>) {
        lock(&self.leaving).set_listed(listed);
        self.apply_leaving();
    }

    /// Records that an upstream shed a request because it is leaving.
    pub fn report_leaving(&self, upstream: &UpstreamId) {
        lock(&self.leaving).report(Arc::clone(upstream), self.clock.now());
        self.apply_leaving();
    }

    /// Returns the addresses of upstreams that shed a request because they are leaving.
    #[must_use]
    pub fn reported_leaving(&self) -> Vec<SocketAddr> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        let leaving = lock(&self.leaving);
        leaving.reported().filter_map(|it| Some(pools.get(it)?.address())).collect()
    }

    fn apply_leaving(&self) {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        let leaving = lock(&self.leaving);
        let mut balancer = self.balancer();
        for it in pools.keys() {
            balancer.set_leaving(it, leaving.contains(it));
        }
    }

    /// Returns the numbers of requests in flight and queued, which are sent to the peers.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        let snapshot = self.snapshot();
        let in_flight = snapshot.lanes.iter().map(|it| it.in_flight).sum();
        let queued: usize = snapshot.lanes.iter().map(|it| it.queued).sum();
        (in_flight, u32::try_from(queued).unwrap_or(u32::MAX))
    }

    /// Returns the configuration of the service.
    #[must_use]
    pub fn config(&self) -> Arc<document::Service> {
        Arc::clone(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Locks the balancer. Don't hold the guard across an await.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    /// Locks the retry budget. Don't hold the guard across an await.
    pub fn retries(&self) -> MutexGuard<'_, admission::Budget> {
        lock(&self.retries)
    }

    /// Returns the connections to an upstream; `None` if the configuration no longer has it.
    #[must_use]
    pub fn pool(&self, upstream: &UpstreamId) -> Option<Arc<Pool>> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.get(upstream).cloned()
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request is not admitted, is displaced from the queue or expires
    /// in it. The request was not dispatched.
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
        // From here on, dropping the permit releases the slot or the place in the queue.
        match verdict {
            Verdict::Refused(it) => return Err(it),
            Verdict::Admitted => {
                return Ok(Permit::admitted(Arc::clone(self), id));
            }
            Verdict::Queued { .. } => {}
        }
        self.request_queued.notify_one();
        let mut permit = Permit::queued(Arc::clone(self), id);
        match delivered.await {
            Ok(Event::Admit(_)) => {
                permit.set_admitted();
                Ok(permit)
            }
            Ok(Event::Expire(_)) => Err(refusal(admission::Reason::Deadline)),
            Err(_displaced) => Err(refusal(admission::Reason::QueueFull)),
        }
    }

    /// Chooses an upstream. If all are full, waits for a free slot until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no upstream.
    pub async fn choose(
        self: &Arc<Self>,
        tried: &[UpstreamId],
        deadline: Instant,
    ) -> balance::Result<InFlight> {
        loop {
            let refusal = match self.balancer().choose(self.clock.now(), tried) {
                Ok(choice) => return Ok(InFlight::new(Arc::clone(self), choice)),
                Err(it) => it,
            };
            let waited = self.clock.now() + refusal.retry_after;
            if refusal.reason != balance::Reason::Full || waited >= deadline {
                return Err(refusal);
            }
            tokio::select! {
                () = self.attempt_finished.notified() => {}
                () = tokio::time::sleep_until(waited.into()) => {}
            }
        }
    }

    /// Chooses an upstream with a free slot, without waiting.
    #[must_use]
    pub fn choose_now(self: &Arc<Self>, tried: &[UpstreamId]) -> Option<InFlight> {
        let choice = self.balancer().choose(self.clock.now(), tried).ok()?;
        Some(InFlight::new(Arc::clone(self), choice))
    }

    /// Expires queued requests and reports of leaving upstreams. Returns whether requests are
    /// queued.
    pub fn tick(&self) -> bool {
        let has_expired = lock(&self.leaving).expire(self.clock.now());
        if has_expired {
            self.apply_leaving();
        }
        if lock(&self.queue).waiting.is_empty() {
            return false;
        }
        self.update_capacity();
        true
    }

    /// Returns the state of admission, for status pages and metrics.
    #[must_use]
    pub fn snapshot(&self) -> admission::Snapshot {
        lock(&self.queue).gate.snapshot()
    }

    fn finish(&self, dispatch: Dispatch, completion: balance::Completion) {
        self.balancer().finished(self.clock.now(), dispatch, completion);
        self.attempt_finished.notify_one();
    }

    /// Sets the number of slots to the capacity of the upstreams and admits queued requests.
    fn update_capacity(&self) {
        let now = self.clock.now();
        let capacity = self.balancer().capacity(now);
        let mut queue = lock(&self.queue);
        queue.set_capacity(now, capacity);
        let events = queue.gate.tick(now);
        queue.deliver(events);
    }

    fn update_pools(&self, spec: &Spec) {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        let known = std::mem::take(&mut *pools);
        for it in &spec.upstreams {
            let kept = known.get(&it.id).filter(|pool| pool.address() == it.address).cloned();
            let pool = kept.unwrap_or_else(|| Arc::new(Pool::new(it.address, it.slots as usize)));
            pools.insert(Arc::clone(&it.id), pool);
        }
    }

    fn release(&self, id: RequestId, is_queued: bool, service_time: Option<Duration>) {
        let now = self.clock.now();
        let capacity = self.balancer().capacity(now);
        let mut queue = lock(&self.queue);
        queue.set_capacity(now, capacity);
        queue.waiting.remove(&id);
        let events = if is_queued {
            queue.gate.cancel(now, id)
        } else {
            queue.gate.release(now, id, service_time)
        };
        queue.deliver(events);
    }
}

fn refusal(reason: admission::Reason) -> admission::Refusal {
    let retry_after = admission::Settings::default().max_retry_after;
    admission::Refusal { reason, retry_after }
}

//! State shared by the tasks of a daemon: the routing table, the services, the peers.
//!
//! Requests read it; configuration, registry and peers update it. The routing table is replaced as
//! a whole.

mod evacuation;
mod knowledge;
mod quotas;
mod reload;
mod temperatures;
mod withdrawals;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use clock::Clock;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Settings,
    config::{self, BootTime, Config, Confirmation, RouteId, ServiceId, Table, Version},
    decision::Limiter,
    dispatcher::Dispatcher,
    load::{self, Budget, HostKey, Queue, Service},
    memory::Memory,
    metrics::Metrics,
    peer::{
        self, Departure, Phase, QueryId,
        placement::{Daemon, Placement},
    },
    platform::Era,
    probe,
    rate::{Bucket, Quotas, Terms},
    registry::{Change, Fold, Index, Key, Registration, UpstreamId, Withdrawals},
    stop,
    upstream::Pool,
    wire::Protocol,
};

/// Time for which a removal read just after the store has recovered stays pending: upstreams that
/// are alive have registered again by then.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_300);

/// Longest time for which a daemon that starts waits for its peers before it reads the store.
const PEER_START_TIMEOUT: Duration = Duration::from_secs(3);
/// Time over which the daemons that have waited in vain start to read the store.
const PEER_START_SPREAD_MS: u64 = 1_000;

/// Time after its first read in which the registry is compared with that of any peer that differs:
/// `stability_ms`, after which machines count as in touch.
const NEW_REGISTRY_TIME: Duration = Duration::from_secs(3);
/// Maximum number of these comparisons.
const MAX_NEW_COMPARISONS: u32 = 3;

/// Time after which every peer has been informed that this daemon is active.
const ACTIVITY_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// State shared by the tasks of a daemon.
pub struct Gateway {
    /// Settings in force.
    pub settings: RefCell<Rc<Settings>>,
    /// Clock used for all decisions.
    pub clock: Arc<dyn Clock>,
    /// Names and formats used with callers and upstreams.
    pub protocol: Protocol,
    /// Key of this incarnation.
    pub key: HostKey,
    /// Receive buffer of a caller's connection, in bytes; listeners have it from the start on.
    pub receive_buffer_bytes: usize,
    /// Lifecycle phase of the daemon.
    pub phase: Cell<Phase>,
    /// Usable upstreams by their registrations.
    pub registry: RefCell<Fold>,
    /// Peers.
    pub peers: RefCell<peer::Table>,
    /// Idle connections to upstreams.
    pub pool: Pool,
    /// Quotas of tenants.
    pub quotas: RefCell<Quotas>,
    /// Budget for probes.
    pub probe_budget: RefCell<Bucket>,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Rate limit of the log lines about requests.
    pub log_limiter: RefCell<Limiter>,
    /// Memory held for callers.
    pub memory: Memory,
    /// Request rate and activity of the daemon.
    pub activity: RefCell<peer::Activity>,
    /// Era in which this daemon last registered in the store, where other daemons find it.
    pub registered_in: Cell<Option<Era>>,
    /// When the answer to the last read of the configuration from the store was processed. Reads are
    /// scheduled by this; refusals rest on [`Self::confirmation`].
    pub last_config_read: Cell<Option<Instant>>,
    /// When the configuration in force was last known to be the newest.
    pub confirmation: Cell<Confirmation>,
    /// Last query to peers about the newest configuration, and when it was sent.
    config_query: Cell<Option<(QueryId, BootTime)>>,
    /// When a request last waited in vain for a confirmation of the configuration.
    confirmation_failed_at: Cell<Option<BootTime>>,
    /// Requests received since the start.
    pub request_count: Cell<u64>,
    /// Requests in progress.
    pub in_progress: Cell<usize>,
    /// Progress of a planned stop.
    pub stop: stop::State,
    /// Notified when no further connections of callers are to be accepted.
    pub callers_closed: Notify,
    /// Whether the callers' port is closed.
    pub is_port_closed: Cell<bool>,
    /// Notified when loads have changed that must be sent to peers.
    pub loads_changed: Notify,
    /// Notified when the registry must be read immediately.
    pub registry_wanted: Notify,
    /// Notified when the registry of [`Self::differing_peer`] must be compared.
    pub registry_differs: Notify,
    /// A peer that may know the upstreams better.
    pub differing_peer: Cell<Option<SocketAddr>>,
    /// Notified when heartbeats must be sent to all peers immediately.
    pub heartbeat_wanted: Notify,
    /// Notified when a peer has a newer configuration.
    pub config_wanted: Notify,
    /// Notified when the configuration must be confirmed.
    pub confirmation_wanted: Notify,
    /// Notified when the newest configuration must be read, since no peer has confirmed this one.
    pub config_read_wanted: Notify,
    /// Wakes all that wait when more is known about which configuration is the newest.
    pub knowledge_changed: Notify,
    /// Notified when an upstream has said that it is leaving.
    pub departure_noticed: Notify,
    /// Notified when an upstream has said something new about its slow start.
    pub temperature_noticed: Notify,
    /// Notified when a peer has relayed registry changes.
    pub registry_relayed: Notify,
    table: RefCell<Option<Rc<Table>>>,
    dispatchers: RefCell<HashMap<ServiceId, Rc<Dispatcher>>>,
    index: RefCell<Index>,
    withdrawals: RefCell<Withdrawals>,
    departures: RefCell<Vec<Departure>>,
    evacuation: evacuation::State,
    changed_loads: Rc<RefCell<BTreeSet<UpstreamId>>>,
    temperature_news: RefCell<BTreeSet<UpstreamId>>,
    placement: RefCell<Placement>,
    split_credits: RefCell<HashMap<RouteId, Vec<f64>>>,
    registry_read_once: Cell<bool>,
    registry_read_at: Cell<Option<Instant>>,
    new_comparisons: Cell<u32>,
    /// Until when configuration and registry come from peers only.
    store_from: Instant,
    has_quotas: Cell<bool>,
    started: Instant,
    seed: u64,
}

impl Gateway {
    /// Creates the state of a daemon that has just started.
    #[must_use]
    pub fn new(
        settings: Settings,
        clock: Arc<dyn Clock>,
        protocol: Protocol,
        seed: u64,
    ) -> Rc<Self> {
        let now = clock.now();
        Rc::new(Self {
            clock,
            protocol,
            key: seed,
            receive_buffer_bytes: settings.receive_buffer_bytes(),
            phase: Cell::default(),
            registry: RefCell::new(Fold::new(EXPIRY_GRACE)),
            peers: RefCell::new(peer::Table::new(settings.peer_address, link_mbps(&settings))),
            pool: Pool::default(),
            quotas: RefCell::new(Quotas::new(now, Terms::default())),
            has_quotas: Cell::new(false),
            probe_budget: RefCell::new(Bucket::new(now, probe::BURST)),
            metrics: Metrics::default(),
            log_limiter: RefCell::new(Limiter::new(now)),
            memory: Memory::new(settings.caller_memory_bytes(0)),
            activity: RefCell::new(peer::Activity::new(now)),
            registered_in: Cell::new(None),
            last_config_read: Cell::new(None),
            confirmation: Cell::default(),
            config_query: Cell::new(None),
            confirmation_failed_at: Cell::new(None),
            request_count: Cell::new(0),
            in_progress: Cell::new(0),
            stop: stop::State::default(),
            callers_closed: Notify::new(),
            is_port_closed: Cell::new(false),
            loads_changed: Notify::new(),
            registry_wanted: Notify::new(),
            registry_differs: Notify::new(),
            differing_peer: Cell::default(),
            heartbeat_wanted: Notify::new(),
            config_wanted: Notify::new(),
            confirmation_wanted: Notify::new(),
            config_read_wanted: Notify::new(),
            knowledge_changed: Notify::new(),
            departure_noticed: Notify::new(),
            temperature_noticed: Notify::new(),
            registry_relayed: Notify::new(),
            table: RefCell::default(),
            dispatchers: RefCell::default(),
            index: RefCell::default(),
            withdrawals: RefCell::default(),
            departures: RefCell::default(),
            evacuation: evacuation::State::default(),
            changed_loads: Rc::default(),
            temperature_news: RefCell::default(),
            placement: RefCell::default(),
            split_credits: RefCell::default(),
            registry_read_once: Cell::new(false),
            registry_read_at: Cell::default(),
            new_comparisons: Cell::default(),
            store_from: if settings.starts_from_peers() {
                now + PEER_START_TIMEOUT + Duration::from_millis(seed % PEER_START_SPREAD_MS)
            } else {
                now
            },
            started: now,
            seed,
            settings: RefCell::new(Rc::new(settings)),
        })
    }

    /// The settings in force.
    #[must_use]
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// When this daemon may read the store: on the first start of a fleet it waits for its peers.
    #[must_use]
    pub fn store_from(&self) -> Instant {
        self.store_from
    }

    /// Whether configuration and registry come from peers only.
    #[must_use]
    pub fn waits_for_peers(&self) -> bool {
        self.now() < self.store_from
    }

    /// Whether this daemon has registered in the store, which has not lost its record since.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        let era = self.registry.borrow().era().max(self.evacuation_stamp().era);
        self.registered_in.get().is_some_and(|it| it >= era)
    }

    /// The routing table, once there is a configuration.
    #[must_use]
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Version of the configuration in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> Version {
        self.table.borrow().as_ref().map_or(0, |it| it.version)
    }

    /// Limits on what callers may send.
    #[must_use]
    pub fn limits(&self) -> config::Limits {
        self.table.borrow().as_ref().map(|it| it.limits.clone()).unwrap_or_default()
    }

    /// Dispatcher of a service.
    #[must_use]
    pub fn dispatcher(&self, service: &str) -> Option<Rc<Dispatcher>> {
        self.dispatchers.borrow().get(service).cloned()
    }

    /// All dispatchers.
    #[must_use]
    pub fn dispatchers(&self) -> Vec<Rc<Dispatcher>> {
        self.dispatchers.borrow().values().cloned().collect()
    }

    /// Puts a configuration in force if it is newer than the current one; returns whether it is.
    pub fn set_config(self: &Rc<Self>, config: Config, source: &str) -> bool {
        let old = self.version();
        if config.version <= old {
            return false;
        }
        let (version, routes) = (config.version, config.routes.len());
        self.metrics.config_findings.inc_by(config.findings.len() as u64);
        for it in &config.findings {
            log::warn!(target: "belief", "event=config-finding version={version} finding=\"{it}\"");
        }
        for it in &config.services {
            let dispatcher = self.ensure_dispatcher(&it.id);
            dispatcher.set_connection_limit(it.connection_limit);
            self.set_slow_start(&dispatcher, it.slow_start, it.warmup_per_s);
        }
        self.invalidate_placement();
        let mut tenants = config.tenants.iter().flatten();
        self.has_quotas.set(tenants.any(|it| it.rate_per_s > 0.0));
        *self.table.borrow_mut() = Some(Rc::new(Table::new(config)));
        log::info!(
            target: "belief",
            "event=config-in-force version={version} before={old} routes={routes} source={source}"
        );
        self.metrics.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.knowledge_changed.notify_waiters();
        self.update_phase();
        true
    }

    /// Records that the registry has been read to its end.
    pub fn mark_registry_read(&self) {
        if !self.registry_read_once.replace(true) {
            self.registry_read_at.set(Some(self.now()));
            self.check_evacuated_domains();
        }
        self.update_phase();
    }

    /// Compares the registry with that of a peer that has another one.
    pub fn compare_registry(&self, peer: SocketAddr) {
        self.differing_peer.set(Some(peer));
        self.registry_differs.notify_one();
    }

    /// Whether to compare the registry at once with that of a peer that has read equally far and has
    /// another one: it was read for the first time a moment ago, so the difference may be something that
    /// only the peer has seen.
    pub fn may_compare_new_registry(&self) -> bool {
        let age = self.registry_read_at.get().map(|it| self.now().saturating_duration_since(it));
        let is_new = age.is_some_and(|it| it < NEW_REGISTRY_TIME);
        let count = self.new_comparisons.get();
        self.new_comparisons.set(count + u32::from(is_new));
        is_new && count < MAX_NEW_COMPARISONS
    }

    /// Applies a change of the registry.
    pub fn apply(self: &Rc<Self>, change: &Change, source: &str) {
        let now = self.now();
        match change {
            Change::Put(it) => self.put(now, it, source),
            Change::Removed(it) => {
                let (id, seq) = (&it.id, it.revision.seq);
                log::info!(target: "belief", "event=upstream-gone upstream={id} seq={seq} source={source}");
                self.remove(id);
            }
        }
    }

    /// Dispatcher and id of the upstream with the hash `key`.
    #[must_use]
    pub fn find_upstream(&self, key: Key) -> Option<(Rc<Dispatcher>, UpstreamId)> {
        let index = self.index.borrow();
        let (id, service) = index.find(key)?;
        Some((self.dispatcher(service)?, id.clone()))
    }

    /// Dispatcher of an upstream.
    #[must_use]
    pub fn dispatcher_of(&self, id: &str) -> Option<Rc<Dispatcher>> {
        self.dispatcher(self.index.borrow().service(id)?)
    }

    /// Marks an upstream as one whose load must be sent to peers.
    pub fn mark_load_changed(&self, id: &UpstreamId) {
        self.changed_loads.borrow_mut().insert(id.clone());
        self.loads_changed.notify_one();
    }

    /// Takes the set of upstreams whose loads must be sent to peers.
    #[must_use]
    pub fn take_changed_loads(&self) -> BTreeSet<UpstreamId> {
        std::mem::take(&mut *self.changed_loads.borrow_mut())
    }

    /// Capacity of the host and how much of it is in use.
    #[must_use]
    pub fn capacity(&self) -> peer::Capacity {
        let settings = self.settings();
        // These are approximate figures; `f32` is precise enough.
        #[expect(clippy::cast_possible_truncation)]
        let res = peer::Capacity {
            link_mbps: link_mbps(&settings),
            cpu_cores: settings.cpu_cores as f32,
            used_cores: self.activity.borrow().used_cores() as f32,
        };
        res
    }

    /// Marks the placement as outdated, because daemons or upstreams were added or removed.
    pub fn invalidate_placement(&self) {
        self.placement.borrow_mut().invalidate();
    }

    /// Recomputes the placement of upstreams on daemons if it is outdated.
    pub fn update_placement(&self, now: Instant) {
        let settings = self.settings();
        let mut placement = self.placement.borrow_mut();
        if !placement.is_invalid() {
            return;
        }
        let own = Daemon { address: settings.peer_address, domain: settings.domain.clone() };
        let peers = self.peers.borrow();
        let active = peers.live_peers(now).filter(|(_, it)| it.heartbeat.is_active);
        let daemon = |(address, it): (SocketAddr, &peer::Peer)| Daemon {
            address,
            domain: it.heartbeat.domain.clone(),
        };
        let mut daemons: Vec<_> = active.map(daemon).collect();
        let warmers = if daemons.is_empty() && !self.activity.borrow().is_active() {
            let live = peers.live_peers(now).map(daemon);
            Some(live.chain([own.clone()]).collect())
        } else {
            None
        };
        if self.activity.borrow().is_active() || daemons.is_empty() {
            daemons.push(own.clone());
        }
        placement.reset(own, daemons, self.evacuations().in_force());
        if let Some(it) = warmers {
            placement.set_warmers(it);
        }
        for dispatcher in self.dispatchers.borrow().values() {
            placement.add_service(&mut dispatcher.service.borrow_mut());
        }
    }

    /// Peers that an upstream is assigned to.
    #[must_use]
    pub fn assigned_peers(&self, id: &str) -> Option<Rc<[SocketAddr]>> {
        self.placement.borrow().peers_of(id)
    }

    /// Service for the next request of a route, by smooth weighted round-robin.
    #[must_use]
    pub fn choose_service(&self, route: &config::Route) -> Option<ServiceId> {
        if let [only] = &*route.parts {
            return Some(only.service.clone());
        }
        let total: f64 = route.parts.iter().map(|it| f64::from(it.weight)).sum();
        let mut split_credits = self.split_credits.borrow_mut();
        let credits = split_credits.entry(route.id.clone()).or_default();
        credits.resize(route.parts.len(), 0.0);
        for (credit, part) in credits.iter_mut().zip(&route.parts) {
            *credit += f64::from(part.weight);
        }
        let highest = (0..credits.len()).max_by(|a, b| credits[*a].total_cmp(&credits[*b]))?;
        credits[highest] -= total;
        Some(route.parts[highest].service.clone())
    }

    /// Divides the retry and probe budgets among the daemons that may be running.
    pub fn share_budgets(&self, now: Instant) {
        let settings = self.settings();
        let peers = self.peers.borrow();
        let sharers = peers.sharers(now, settings.retry_window);
        let known_after = settings.retry_window + ACTIVITY_PROPAGATION_TIME;
        let is_known_active = self.activity.borrow().is_active_for(now, known_after);
        let slack = settings.retry_slack * load::slack_share(sharers, is_known_active);
        let live = peers.live_count(now) + 1;
        let active = peers.live_peers(now).filter(|(_, it)| it.heartbeat.is_active).count() + 1;
        let active = u32::try_from(active).unwrap_or(u32::MAX);
        let mut upstreams = 0;
        for it in self.dispatchers.borrow().values() {
            it.set_daemon_count(live);
            it.set_active_count(active);
            it.budget.borrow_mut().set(now, settings.retry_window, settings.retry_ratio, slack);
            upstreams += it.service.borrow().iter().filter(|it| !it.is_evacuated).count();
        }
        self.share_quotas(now, &peers);
        drop(peers);
        self.share_slow_starts(now);
        let rate = settings.probe_rate * upstreams as f64 / f64::from(sharers.all + 1);
        self.probe_budget.borrow_mut().set_rate(rate);
    }

    fn update_phase(&self) {
        let is_ready = self.table.borrow().is_some()
            && self.registry_read_once.get()
            && self.evacuations_known();
        if is_ready && self.phase.get() == Phase::Starting {
            self.phase.set(Phase::Ready);
            log::info!(target: "belief", "event=ready version={}", self.version());
        }
    }

    fn ensure_dispatcher(self: &Rc<Self>, id: &ServiceId) -> Rc<Dispatcher> {
        if let Some(it) = self.dispatcher(id) {
            return it;
        }
        let settings = self.settings();
        let now = self.now();
        let seed = self.seed ^ xxh3_64(id.as_bytes());
        let mut service = Service::new(load::Settings::default(), settings.domain.clone(), seed);
        service.set_evacuated(&self.evacuations().in_force());
        for it in self.registry.borrow().entries().filter(|it| it.service == *id) {
            service.put_found(now, it.clone());
            service.set_withdrawal(&it.id, self.withdrawals.borrow().get(it));
        }
        let budget = Budget::new(now, settings.retry_window, settings.retry_ratio, 0.0);
        let weak = Rc::downgrade(self);
        let on_load_change = Rc::new(move |id: &UpstreamId| {
            if let Some(it) = weak.upgrade() {
                it.mark_load_changed(id);
            }
        });
        let queue = Queue::new(load::Overload::default(), seed);
        let clock = Arc::clone(&self.clock);
        let dispatcher =
            Rc::new(Dispatcher::new(id.clone(), service, budget, queue, clock, on_load_change));
        self.invalidate_placement();
        self.dispatchers.borrow_mut().insert(id.clone(), Rc::clone(&dispatcher));
        self.share_budgets(now);
        dispatcher
    }

    fn put(self: &Rc<Self>, now: Instant, it: &Registration, source: &str) {
        log::info!(
            target: "belief",
            "event=upstream-says upstream={} service={} address={} state={:?} born_ms={} seq={} \
             source={source}",
            it.id, it.service, it.address, it.state, it.born_ms, it.seq,
        );
        let old = self.index.borrow_mut().insert(&it.id, &it.service);
        let moved_from = old.filter(|old| *old != it.service);
        if let Some(dispatcher) = moved_from.and_then(|old| self.dispatcher(&old)) {
            dispatcher.service.borrow_mut().remove(&it.id);
        }
        let Some(dispatcher) = self.dispatcher(&it.service) else { return };
        let mut service = dispatcher.service.borrow_mut();
        let is_new = if self.registry_read_once.get() {
            service.put(now, it.clone())
        } else {
            service.put_found(now, it.clone())
        };
        drop(service);
        if is_new {
            self.pool.remove(&it.id);
            self.invalidate_placement();
        }
        self.update_withdrawal(it);
        dispatcher.serve_queue(now);
    }

    fn remove(&self, id: &UpstreamId) {
        let service = self.index.borrow_mut().remove(id);
        self.pool.remove(id);
        self.invalidate_placement();
        if let Some(dispatcher) = service.and_then(|it| self.dispatcher(&it)) {
            dispatcher.service.borrow_mut().remove(id);
        }
    }
}

/// Bandwidth of the host's link, as sent to peers.
fn link_mbps(settings: &Settings) -> f32 {
    // Used only to order hosts; `f32` is precise enough.
    #[expect(clippy::cast_possible_truncation)]
    let res = settings.link_mbps as f32;
    res
}

//! State shared by the modules of a daemon.

use std::{
    collections::{BTreeSet, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use clock::Clock;
use document::{Offset, Version, replica};
use member::{Identity, Listing, Liveness, Load, Phase};
use tokio::sync::{Notify, watch};

use crate::{
    Settings,
    caller::body::Budget,
    configuration::Confirmation,
    decision::Recorder,
    id,
    membership::Membership,
    metrics::Metrics,
    orders::Driver,
    service::Service,
    status::{self, Status},
    table::{Context, Table},
};

/// State shared by the modules of a daemon.
pub struct State {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Clock of the daemon.
    pub clock: Arc<dyn Clock>,
    /// Source of request ids; carries the incarnation.
    pub ids: id::Source,
    /// Records routing decisions.
    pub recorder: Arc<Recorder>,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Memory for request bodies.
    pub request_memory: Budget,
    /// Memory for answers.
    pub answer_memory: Budget,
    /// Number of requests in progress.
    pub in_progress: AtomicUsize,
    /// Notified when a request is queued; wakes the task that runs the services' timers.
    pub request_queued: Arc<Notify>,
    /// Set to true to make the daemon leave.
    pub leave: watch::Sender<bool>,
    membership: OnceLock<Arc<Membership>>,
    orders: OnceLock<Arc<Driver>>,
    hosts: AtomicU32,
    table: RwLock<Arc<Table>>,
    replica: Mutex<Replica>,
    leaving_upstreams: Mutex<BTreeSet<SocketAddr>>,
}

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For peers.
    pub peer: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// State of this daemon's replica of the configuration.
#[derive(Clone)]
struct Replica {
    state: replica::State,
    end: Offset,
    snapshot: Option<Bytes>,
    digest: u64,
    confirmation: Option<Confirmation>,
}

impl State {
    /// Creates the state of a daemon without a configuration.
    #[must_use]
    pub fn new(settings: Settings, clock: Arc<dyn Clock>, incarnation: id::Incarnation) -> Self {
        let replica = Replica {
            state: replica::State::Starting,
            end: 0,
            snapshot: None,
            digest: 0,
            confirmation: None,
        };
        Self {
            clock,
            ids: id::Source::new(incarnation),
            recorder: Recorder::start(settings.log_decisions),
            metrics: Metrics::default(),
            request_memory: Budget::new(settings.request_memory_bytes),
            answer_memory: Budget::new(settings.answer_memory_bytes),
            in_progress: AtomicUsize::new(0),
            request_queued: Arc::new(Notify::new()),
            leave: watch::Sender::new(false),
            membership: OnceLock::new(),
            orders: OnceLock::new(),
            hosts: AtomicU32::new(1),
            table: RwLock::default(),
            replica: Mutex::new(replica),
            leaving_upstreams: Mutex::default(),
            settings,
        }
    }

    /// Starts the membership of the daemon once its addresses are known.
    pub fn start_membership(&self, addresses: Addresses) -> Arc<Membership> {
        let identity = Identity {
            address: addresses.peer,
            entry: addresses.caller,
            admin: addresses.admin,
            domain: self.settings.domain.as_str().into(),
            incarnation: self.ids.incarnation(),
        };
        let start = || {
            let clock = Arc::clone(&self.clock);
            let seeds = &self.settings.peers;
            Arc::new(Membership::new(identity, seeds, clock, self.settings.directions_keep))
        };
        Arc::clone(self.membership.get_or_init(start))
    }

    /// Returns the membership of the daemon; `None` until it is started.
    #[must_use]
    pub fn membership(&self) -> Option<&Arc<Membership>> {
        self.membership.get()
    }

    /// Sets the driver of the daemon's orders; later calls have no effect.
    pub fn set_orders(&self, driver: Arc<Driver>) {
        let _first = self.orders.set(driver);
    }

    /// Returns the driver of the daemon's orders; `None` while the daemon starts.
    #[must_use]
    pub fn orders(&self) -> Option<&Arc<Driver>> {
        self.orders.get()
    }

    /// Returns the routing table of the version in force.
    #[must_use]
    pub fn table(&self) -> Arc<Table> {
        Arc::clone(&self.table.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a newer version of the configuration in force; an older one is ignored.
    pub fn put_in_force(&self, document: document::Document, version: Version) {
        let old = self.table();
        if Some(version) <= old.version {
            return;
        }
        let context = Context {
            domain: self.settings.domain.as_str().into(),
            hosts: self.hosts.load(Ordering::Relaxed),
            clock: Arc::clone(&self.clock),
            request_queued: Arc::clone(&self.request_queued),
            seed: self.ids.incarnation(),
        };
        let table = Arc::new(Table::build(&Arc::new(document), version, &old, &context));
        *self.table.write().unwrap_or_else(PoisonError::into_inner) = table;
        self.apply_leaving(&lock(&self.leaving_upstreams));
        if let Some(it) = self.membership() {
            it.set_version(version);
        }
        log::info!("configuration version {version} is in force");
    }

    /// Sets how many entry hosts may be running.
    pub fn set_hosts(&self, hosts: u32) {
        if self.hosts.swap(hosts, Ordering::Relaxed) == hosts {
            return;
        }
        log::info!("{hosts} entry hosts may be running");
        for it in self.table().services.values() {
            it.set_hosts(hosts);
        }
    }

    /// Sets the addresses of all leaving upstreams.
    pub fn set_leaving_upstreams(&self, leaving: BTreeSet<SocketAddr>) {
        let mut known = lock(&self.leaving_upstreams);
        if *known == leaving {
            return;
        }
        for it in leaving.symmetric_difference(&known) {
            log::info!("upstream {it} leaving: {}", leaving.contains(it));
        }
        *known = leaving;
        self.apply_leaving(&known);
    }

    /// Returns the addresses of all leaving upstreams, which get no new requests, for tests and
    /// measurements.
    #[must_use]
    pub fn leaving_upstreams(&self) -> BTreeSet<SocketAddr> {
        lock(&self.leaving_upstreams).clone()
    }

    /// Sets the backend servers that the platform's host list marks as leaving.
    pub fn set_listed_servers(&self, marked: BTreeSet<SocketAddr>) {
        if let Some(it) = self.membership() {
            it.table().set_listed_servers(marked);
        }
    }

    /// Returns the addresses of backend servers that reported that they are leaving.
    #[must_use]
    pub fn reported_leaving(&self) -> BTreeSet<SocketAddr> {
        self.table().services.values().flat_map(|it| it.reported_leaving()).collect()
    }

    /// Applies the platform's list of entry hosts. The daemon leaves if the list marks it as
    /// leaving.
    pub fn apply_host_list(&self, listings: &[Listing]) {
        let Some(membership) = self.membership() else { return };
        if membership.apply_host_list(listings) {
            self.leave.send_replace(true);
        }
    }

    /// Returns the load of each service, ordered by name.
    #[must_use]
    pub fn loads(&self) -> Vec<Load> {
        let table = self.table();
        let mut services: Vec<_> = table.services.iter().collect();
        services.sort_by_key(|it| it.0);
        let load = |(index, (_, service)): (usize, (_, &Arc<Service>))| {
            let (in_flight, queued) = service.load();
            Load { service: u16::try_from(index).unwrap_or(u16::MAX), in_flight, queued }
        };
        services.into_iter().enumerate().map(load).collect()
    }

    /// Sets the state of the replica and the first offset that it has not read.
    pub fn set_replica(&self, state: replica::State, end: Offset) {
        let mut replica = lock(&self.replica);
        replica.state = state;
        replica.end = end;
    }

    /// Records that the log held nothing newer than a version.
    pub fn confirm(&self, confirmation: Confirmation) {
        lock(&self.replica).confirmation = Some(confirmation);
    }

    /// Returns the last confirmation that a version was the newest; `None` if there was none, or if
    /// the replica is halted and so lacks records.
    #[must_use]
    pub fn confirmation(&self) -> Option<Confirmation> {
        let replica = lock(&self.replica);
        let is_halted = matches!(replica.state, replica::State::Halted { .. });
        replica.confirmation.filter(|_| !is_halted)
    }

    /// Stores a snapshot for peers that start while the log is down.
    pub fn set_snapshot(&self, end: Offset, snapshot: Bytes, digest: u64) {
        let mut replica = lock(&self.replica);
        replica.end = end;
        replica.snapshot = Some(snapshot);
        replica.digest = digest;
    }

    /// Returns the newest snapshot if it reaches beyond `newer_than`.
    #[must_use]
    pub fn snapshot_newer_than(&self, newer_than: Offset) -> Option<Bytes> {
        let replica = lock(&self.replica);
        if replica.end <= newer_than { None } else { replica.snapshot.clone() }
    }

    /// Returns the entry hosts that `caller` should use, best first.
    #[must_use]
    pub fn entry_hosts(&self, caller: &str) -> Vec<SocketAddr> {
        self.membership().map(|it| it.directions(caller, None)).unwrap_or_default()
    }

    /// Returns the entry hosts that are not suspected, this one first.
    #[must_use]
    pub fn hosts(&self) -> Vec<status::Host> {
        let Some(membership) = self.membership() else { return Vec::new() };
        let own = membership.identity();
        let is_leaving = |it: Phase| it == Phase::Leaving;
        let mut res = vec![status::Host {
            admin_address: own.admin,
            leaving: is_leaving(membership.phase()),
        }];
        let live = membership.peers().into_iter().filter(|it| it.2 != Liveness::Suspect);
        res.extend(live.map(|(identity, phase, _)| status::Host {
            admin_address: identity.admin,
            leaving: is_leaving(phase),
        }));
        res
    }

    /// Returns the status of this daemon for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        let table = self.table();
        let mut services: Vec<_> =
            table.services.iter().map(|(id, it)| self.service_status(id, it)).collect();
        services.sort_by(|a, b| a.id.cmp(&b.id));
        self.add_peer_loads(&mut services);
        let replica = lock(&self.replica).clone();
        Status {
            incarnation: format!("{:016x}", self.ids.incarnation()),
            phase: self.membership().map(|it| it.phase()).unwrap_or_default(),
            version: table.version,
            configuration: replica.state,
            read_to: replica.end,
            document_digest: format!("{:016x}", replica.digest),
            in_progress: self.in_progress.load(Ordering::Relaxed),
            decisions_dropped: self.recorder.dropped(),
            peers: self.membership().map(|it| peers(it)).unwrap_or_default(),
            services,
        }
    }

    fn service_status(&self, id: &str, service: &Service) -> status::Service {
        let snapshot = service.snapshot();
        let balancer = service.balancer();
        status::Service {
            id: id.to_owned(),
            capacity: snapshot.capacity,
            ejected: balancer.ejected(self.clock.now()),
            probes: balancer.probes(),
            elsewhere: status::PeerLoad::default(),
            ranks: snapshot.lanes.iter().map(status::Rank::from).collect(),
        }
    }

    /// Adds the loads reported by peers, which identify a service by its index in the order of
    /// names.
    fn add_peer_loads(&self, services: &mut [status::Service]) {
        let Some(membership) = self.membership() else { return };
        let table = membership.table();
        for (index, it) in services.iter_mut().enumerate() {
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            let estimate = table.estimate(index, None, self.clock.now());
            it.elsewhere = status::PeerLoad {
                hosts: estimate.daemons,
                in_flight: estimate.in_flight,
                queued: estimate.queued,
            };
        }
    }

    /// Applies the addresses of leaving upstreams to the services. They stay locked meanwhile, as
    /// otherwise a call with older ones could finish last and the services would keep those.
    fn apply_leaving(&self, addresses: &BTreeSet<SocketAddr>) {
        let table = self.table();
        let leaving = table.document.upstreams.iter().filter(|it| addresses.contains(&it.address));
        let leaving: HashSet<_> = leaving.map(|it| Arc::clone(&it.id)).collect();
        for it in table.services.values() {
            it.set_listed_leaving(leaving.clone());
        }
    }
}

fn peers(membership: &Membership) -> Vec<status::Peer> {
    let describe = |(identity, phase, liveness): (Identity, _, Liveness)| status::Peer {
        address: identity.address,
        admin: identity.admin,
        entry: identity.entry,
        domain: identity.domain.to_string(),
        incarnation: format!("{:016x}", identity.incarnation),
        phase,
        suspected: liveness == Liveness::Suspect,
    };
    membership.peers().into_iter().map(describe).collect()
}

/// Locks a mutex even if it is poisoned: the states behind the locks of this crate are consistent
/// after every call.
pub(crate) fn lock<T>(it: &Mutex<T>) -> MutexGuard<'_, T> {
    it.lock().unwrap_or_else(PoisonError::into_inner)
}

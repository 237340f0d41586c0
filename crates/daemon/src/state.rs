//! State that the parts of a daemon share.

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
use member::{Identity, Listed, Load, Phase, Standing};
use tokio::sync::{Notify, watch};

use crate::{
    Settings,
    caller::body::Budget,
    decision::Recorder,
    id,
    membership::Membership,
    metrics::Metrics,
    orders::Driver,
    service::Service,
    status::{self, Status},
    table::{Context, Table},
};

/// State that the parts of a daemon share.
pub struct State {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Clock of the daemon.
    pub clock: Arc<dyn Clock>,
    /// Source of request ids; carries the incarnation.
    pub ids: id::Source,
    /// Takes routing decisions.
    pub recorder: Arc<Recorder>,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Memory for request bodies.
    pub request_memory: Budget,
    /// Memory for answers.
    pub answer_memory: Budget,
    /// Requests of callers in progress.
    pub in_progress: AtomicUsize,
    /// Wakes whoever moves time on for services when a request begins to wait.
    pub queued: Arc<Notify>,
    /// Turns true when the daemon is to leave.
    pub leave: watch::Sender<bool>,
    membership: OnceLock<Arc<Membership>>,
    orders: OnceLock<Arc<Driver>>,
    hosts: AtomicU32,
    table: RwLock<Arc<Table>>,
    replica: Mutex<Replica>,
    marked: Mutex<BTreeSet<SocketAddr>>,
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

/// How far this daemon has read the configuration.
#[derive(Clone)]
struct Replica {
    state: replica::State,
    end: Offset,
    snapshot: Option<Bytes>,
    digest: u64,
}

impl State {
    /// The state of a daemon that has no configuration yet.
    #[must_use]
    pub fn new(settings: Settings, clock: Arc<dyn Clock>, incarnation: id::Incarnation) -> Self {
        let replica =
            Replica { state: replica::State::Starting, end: 0, snapshot: None, digest: 0 };
        Self {
            clock,
            ids: id::Source::new(incarnation),
            recorder: Recorder::start(settings.log_decisions),
            metrics: Metrics::default(),
            request_memory: Budget::new(settings.request_memory_bytes),
            answer_memory: Budget::new(settings.answer_memory_bytes),
            in_progress: AtomicUsize::new(0),
            queued: Arc::new(Notify::new()),
            leave: watch::Sender::new(false),
            membership: OnceLock::new(),
            orders: OnceLock::new(),
            hosts: AtomicU32::new(1),
            table: RwLock::default(),
            replica: Mutex::new(replica),
            marked: Mutex::default(),
            settings,
        }
    }

    /// Starts the daemon's membership, once its addresses are known.
    pub fn join(&self, addresses: Addresses) -> Arc<Membership> {
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

    /// The daemon's membership; none until its addresses are known.
    #[must_use]
    pub fn membership(&self) -> Option<&Arc<Membership>> {
        self.membership.get()
    }

    /// Takes in what drives the daemon's orders; the first one stays.
    pub fn take_orders(&self, driver: Arc<Driver>) {
        let _first = self.orders.set(driver);
    }

    /// What drives the daemon's orders; none while the daemon starts.
    #[must_use]
    pub fn orders(&self) -> Option<&Arc<Driver>> {
        self.orders.get()
    }

    /// The version of the configuration in force.
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
            request_queued: Arc::clone(&self.queued),
            seed: self.ids.incarnation(),
        };
        let table = Arc::new(Table::build(&Arc::new(document), version, &old, &context));
        *self.table.write().unwrap_or_else(PoisonError::into_inner) = table;
        self.apply_marks();
        if let Some(it) = self.membership() {
            it.configured(version);
        }
        log::info!("configuration version {version} is in force");
    }

    /// Takes in how many entry hosts may be at work.
    pub fn set_hosts(&self, hosts: u32) {
        if self.hosts.swap(hosts, Ordering::Relaxed) == hosts {
            return;
        }
        log::info!("{hosts} entry hosts may be at work");
        for it in self.table().services.values() {
            it.set_hosts(hosts);
        }
    }

    /// Takes in the addresses of all upstreams that are marked as leaving.
    pub fn mark_upstreams(&self, marked: BTreeSet<SocketAddr>) {
        let mut known = lock(&self.marked);
        if *known == marked {
            return;
        }
        for it in marked.symmetric_difference(&known) {
            log::info!("upstream {it} leaves: {}", marked.contains(it));
        }
        *known = marked;
        drop(known);
        self.apply_marks();
    }

    /// Takes in which backend servers the platform's list marks as leaving.
    pub fn take_listed_servers(&self, marked: BTreeSet<SocketAddr>) {
        if let Some(it) = self.membership() {
            it.table().listed_servers(marked);
        }
    }

    /// Addresses of backend servers that said themselves that they are leaving.
    #[must_use]
    pub fn said_to_leave(&self) -> BTreeSet<SocketAddr> {
        self.table().services.values().flat_map(|it| it.said_to_leave()).collect()
    }

    /// Takes in the platform's list of entry hosts, and leaves if it says so.
    pub fn take_listed(&self, listed: &[Listed]) {
        let Some(membership) = self.membership() else { return };
        if membership.listed(listed) {
            self.leave.send_replace(true);
        }
    }

    /// Load of each service, in the order of their names.
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

    /// Notes how far the configuration was read.
    pub fn note_replica(&self, state: replica::State, end: Offset) {
        let mut replica = lock(&self.replica);
        replica.state = state;
        replica.end = end;
    }

    /// Keeps a snapshot for peers that start while the log is down.
    pub fn keep_snapshot(&self, end: Offset, snapshot: Bytes, digest: u64) {
        let mut replica = lock(&self.replica);
        replica.end = end;
        replica.snapshot = Some(snapshot);
        replica.digest = digest;
    }

    /// The newest snapshot, if it reaches beyond `newer_than`.
    #[must_use]
    pub fn snapshot_beyond(&self, newer_than: Offset) -> Option<Bytes> {
        let replica = lock(&self.replica);
        if replica.end <= newer_than { None } else { replica.snapshot.clone() }
    }

    /// Entry hosts that `caller` should use, best first.
    #[must_use]
    pub fn entry_hosts(&self, caller: &str) -> Vec<SocketAddr> {
        self.membership().map(|it| it.directions(caller, None)).unwrap_or_default()
    }

    /// Entry hosts that live or are leaving, this one first.
    #[must_use]
    pub fn hosts(&self) -> Vec<status::Host> {
        let Some(membership) = self.membership() else { return Vec::new() };
        let own = membership.identity();
        let is_leaving = |it: Phase| it == Phase::Leaving;
        let mut res = vec![status::Host {
            admin_address: own.admin,
            leaving: is_leaving(membership.phase()),
        }];
        let live = membership.peers().into_iter().filter(|it| it.2 != Standing::Suspect);
        res.extend(live.map(|(identity, phase, _)| status::Host {
            admin_address: identity.admin,
            leaving: is_leaving(phase),
        }));
        res
    }

    /// What operators see of this daemon.
    #[must_use]
    pub fn status(&self) -> Status {
        let table = self.table();
        let mut services: Vec<_> =
            table.services.iter().map(|(id, it)| self.service_status(id, it)).collect();
        services.sort_by(|a, b| a.id.cmp(&b.id));
        self.add_elsewhere(&mut services);
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
            elsewhere: status::Elsewhere::default(),
            ranks: snapshot.lanes.iter().map(status::Rank::from).collect(),
        }
    }

    /// Adds what the peers told of their loads; they name services by their place in order of names.
    fn add_elsewhere(&self, services: &mut [status::Service]) {
        let Some(membership) = self.membership() else { return };
        let table = membership.table();
        for (index, it) in services.iter_mut().enumerate() {
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            let estimate = table.estimate(index, None, self.clock.now());
            it.elsewhere = status::Elsewhere {
                hosts: estimate.daemons,
                in_flight: estimate.in_flight,
                queued: estimate.queued,
            };
        }
    }

    fn apply_marks(&self) {
        let marked = lock(&self.marked).clone();
        let table = self.table();
        let leaving = table.document.upstreams.iter().filter(|it| marked.contains(&it.address));
        let leaving: HashSet<_> = leaving.map(|it| Arc::clone(&it.id)).collect();
        for it in table.services.values() {
            it.set_listed_leaving(leaving.clone());
        }
    }
}

fn peers(membership: &Membership) -> Vec<status::Peer> {
    let describe = |(identity, phase, standing): (Identity, _, Standing)| status::Peer {
        address: identity.address,
        admin: identity.admin,
        entry: identity.entry,
        domain: identity.domain.to_string(),
        incarnation: format!("{:016x}", identity.incarnation),
        phase,
        suspected: standing == Standing::Suspect,
    };
    membership.peers().into_iter().map(describe).collect()
}

/// Locks even if another thread panicked while it held the lock: the states that are kept here are
/// consistent between any two calls.
pub(crate) fn lock<T>(it: &Mutex<T>) -> MutexGuard<'_, T> {
    it.lock().unwrap_or_else(PoisonError::into_inner)
}

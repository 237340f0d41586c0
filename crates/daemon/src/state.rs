//! State that the parts of a daemon share.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock},
};

use bytes::Bytes;
use clock::Clock;
use document::{Offset, Version, replica};

use crate::{
    Settings,
    caller::body::Budget,
    decision::Recorder,
    id,
    metrics::Metrics,
    service::Service,
    status::{self, Status},
    table::Table,
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
    /// Address that callers reach this daemon at; set once its socket is bound.
    pub caller_address: OnceLock<SocketAddr>,
    table: RwLock<Arc<Table>>,
    replica: Mutex<Replica>,
}

/// How far this daemon has read the configuration.
#[derive(Clone)]
struct Replica {
    state: replica::State,
    end: Offset,
    snapshot: Option<Bytes>,
}

impl State {
    /// The state of a daemon that has no configuration yet.
    #[must_use]
    pub fn new(settings: Settings, clock: Arc<dyn Clock>, incarnation: id::Incarnation) -> Self {
        Self {
            clock,
            ids: id::Source::new(incarnation),
            recorder: Recorder::start(settings.log_decisions),
            metrics: Metrics::default(),
            request_memory: Budget::new(settings.request_memory_bytes),
            answer_memory: Budget::new(settings.answer_memory_bytes),
            caller_address: OnceLock::new(),
            table: RwLock::default(),
            replica: Mutex::new(Replica {
                state: replica::State::Starting,
                end: 0,
                snapshot: None,
            }),
            settings,
        }
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
        let domain = self.settings.domain.as_str().into();
        let seed = self.ids.incarnation();
        let document = Arc::new(document);
        let table = Table::build(&document, version, &old, &domain, &self.clock, seed);
        *self.table.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(table);
        log::info!("configuration version {version} is in force");
    }

    /// Notes how far the configuration was read.
    pub fn note_replica(&self, state: replica::State, end: Offset) {
        let mut replica = self.replica();
        replica.state = state;
        replica.end = end;
    }

    /// Keeps a snapshot for peers that start while the log is down.
    pub fn keep_snapshot(&self, end: Offset, encode: impl FnOnce() -> Bytes) {
        let snapshot = encode();
        let mut replica = self.replica();
        replica.end = end;
        replica.snapshot = Some(snapshot);
    }

    /// The newest snapshot that this daemon can give to a peer.
    #[must_use]
    pub fn snapshot(&self) -> Option<Bytes> {
        self.replica().snapshot.clone()
    }

    fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Entry hosts that callers should use, best first.
    #[must_use]
    pub fn entry_hosts(&self) -> Vec<SocketAddr> {
        self.caller_address.get().copied().into_iter().collect()
    }

    /// What operators see of this daemon.
    #[must_use]
    pub fn status(&self) -> Status {
        let table = self.table();
        let mut services: Vec<_> =
            table.services.iter().map(|(id, it)| self.service_status(id, it)).collect();
        let replica = self.replica().clone();
        services.sort_by(|a, b| a.id.cmp(&b.id));
        Status {
            incarnation: format!("{:016x}", self.ids.incarnation()),
            version: table.version,
            configuration: replica.state,
            read_to: replica.end,
            decisions_dropped: self.recorder.dropped(),
            services,
        }
    }

    fn service_status(&self, id: &str, service: &Service) -> status::Service {
        let snapshot = service.snapshot();
        let rank = |it: &admission::Lane| status::Rank {
            id: it.rank.to_string(),
            queued: it.queued,
            in_flight: it.in_flight,
            admitted: it.counts.admitted,
            refused: it.counts.refused_deadline
                + it.counts.refused_full
                + it.counts.displaced
                + it.counts.expired,
        };
        let balancer = service.balancer();
        status::Service {
            id: id.to_owned(),
            capacity: snapshot.capacity,
            ejected: balancer.ejected(self.clock.now()),
            probes: balancer.probes(),
            ranks: snapshot.lanes.iter().map(rank).collect(),
        }
    }
}

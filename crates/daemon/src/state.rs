//! State that the parts of a daemon share.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock, PoisonError, RwLock},
};

use clock::Clock;

use crate::{
    Settings,
    caller::body::Budget,
    decision::Recorder,
    id,
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
    /// Memory for request bodies.
    pub request_memory: Budget,
    /// Memory for answers.
    pub answer_memory: Budget,
    /// Address that callers reach this daemon at; set once its socket is bound.
    pub caller_address: OnceLock<SocketAddr>,
    table: RwLock<Arc<Table>>,
}

impl State {
    /// The state of a daemon that has no configuration yet.
    #[must_use]
    pub fn new(settings: Settings, clock: Arc<dyn Clock>, incarnation: id::Incarnation) -> Self {
        Self {
            clock,
            ids: id::Source::new(incarnation),
            recorder: Recorder::start(settings.log_decisions),
            request_memory: Budget::new(settings.request_memory_bytes),
            answer_memory: Budget::new(settings.answer_memory_bytes),
            caller_address: OnceLock::new(),
            table: RwLock::default(),
            settings,
        }
    }

    /// The version of the configuration in force.
    #[must_use]
    pub fn table(&self) -> Arc<Table> {
        Arc::clone(&self.table.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a newer version of the configuration in force; an older one is ignored.
    pub fn put_in_force(&self, document: document::Document, version: u64) {
        let old = self.table();
        if version <= old.version {
            return;
        }
        let domain = self.settings.domain.as_str().into();
        let seed = self.ids.incarnation();
        let document = Arc::new(document);
        let table = Table::build(&document, version, &old, &domain, &self.clock, seed);
        *self.table.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(table);
        log::info!("configuration version {version} is in force");
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
        services.sort_by(|a, b| a.id.cmp(&b.id));
        Status {
            incarnation: format!("{:016x}", self.ids.incarnation()),
            version: table.version,
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
        status::Service {
            id: id.to_owned(),
            capacity: snapshot.capacity,
            ejected: service.balancer().ejected(self.clock.now()),
            ranks: snapshot.lanes.iter().map(rank).collect(),
        }
    }
}

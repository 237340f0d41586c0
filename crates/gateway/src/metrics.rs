//! Counters, gauges and histograms for Prometheus.

use std::{cell::RefCell, collections::HashSet, time::Duration};

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::{
    config::{Knowledge, TenantId},
    decision::Origin,
    memory::{Account, Kind},
};

/// Upper bound of the first latency bucket in seconds; each further bucket doubles it.
const FIRST_BUCKET_S: f64 = 0.002;
/// Number of latency buckets; the last ends at 16 s.
const BUCKET_COUNT: u16 = 14;

/// Maximum number of tenants that are counted by name.
const MAX_TENANTS: usize = 256;
/// Name under which all other tenants are counted.
const OTHER_TENANTS: &str = "other";

/// Labels of requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Request {
    /// Route; empty if none matched.
    pub route: String,
    /// Status sent to the caller; 0 if the caller closed its connection.
    pub status: u16,
    /// Why the request was refused or failed; empty if it was answered.
    pub reason: &'static str,
}

/// Labels of requests that ended with a status from 300 to 499.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Denial {
    /// Status sent to the caller.
    pub status: u16,
    /// Who made the answer: daemon, upstream or unsigned.
    pub origin: &'static str,
    /// Why the daemon refused the request; empty if it did not.
    pub reason: &'static str,
}

/// Labels of requests that the daemon itself ended with a status from 300 to 499.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OwnDenial {
    /// Status sent to the caller.
    pub status: u16,
    /// What was known about whether the configuration was the newest.
    pub knowledge: &'static str,
}

/// Labels of a tenant's requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct TenantRequest {
    /// Name of the tenant.
    pub tenant: String,
    /// First digit of the status sent to the caller; 0 if the caller closed its connection.
    pub class: u16,
}

/// Labels of a route.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Route {
    /// Route; empty if none matched.
    pub route: String,
}

/// Labels of requests that waited for an upstream.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Wait {
    /// Route.
    pub route: String,
    /// Why the wait ended without an upstream; empty if the request was sent.
    pub reason: &'static str,
}

/// Labels of attempts at upstreams.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Attempt {
    /// Service of the upstream.
    pub service: String,
    /// Why the attempt was made: first, retry or hedge.
    pub cause: &'static str,
}

/// Labels of calls to the store.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Call {
    /// Name of the call.
    pub call: &'static str,
    /// Whether it succeeded.
    pub ok: &'static str,
}

/// Labels of evacuated failure domains.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Evacuation {
    /// The domain.
    pub domain: String,
}

/// Labels of memory.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Memory {
    /// What the memory is held for.
    pub kind: &'static str,
}

/// Labels of what is refused to clients that use up memory or descriptors.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Shed {
    /// Why.
    pub kind: &'static str,
}

/// Labels of requests that were checked against a quota.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Quota {
    /// Whether the request was within the quota: admitted or refused.
    pub outcome: &'static str,
}

/// Counters, gauges and histograms of one daemon.
#[derive(Debug)]
pub struct Metrics {
    /// Requests that have ended.
    pub requests: Family<Request, Counter>,
    /// Requests that ended with a status from 300 to 499.
    pub denials: Family<Denial, Counter>,
    /// Requests that the daemon itself ended with a status from 300 to 499.
    pub own_denials: Family<OwnDenial, Counter>,
    /// Requests of tenants that have ended.
    pub tenant_requests: Family<TenantRequest, Counter>,
    /// Time from reading a request to its answer.
    pub latency: Family<Route, Histogram>,
    /// Time for which requests waited for an upstream until they were sent or refused.
    pub waits: Family<Wait, Histogram>,
    /// Attempts at upstreams.
    pub attempts: Family<Attempt, Counter>,
    /// Calls to the platform's store.
    pub calls: Family<Call, Counter>,
    /// Probes of upstreams.
    pub probes: Counter,
    /// Panics of tasks.
    pub panics: Counter,
    /// Omitted log lines about requests.
    pub lines_omitted: Counter,
    /// Bytes held for callers.
    pub held_bytes: Family<Memory, Gauge>,
    /// Bytes that may be held for callers.
    pub held_bytes_limit: Gauge,
    /// Bodies and connections given up because memory or descriptors ran short.
    pub shed: Family<Shed, Counter>,
    /// Connections of callers.
    pub connections: Gauge,
    /// Upstreams that are cold or may be, of services that limit requests to them.
    pub cold_upstreams: Gauge,
    /// Requests that waited or were refused while a cold upstream with a free slot was at its limit.
    pub cold_requests_held: Counter,
    /// Requests that were checked against a quota.
    pub quota_requests: Family<Quota, Counter>,
    /// Live peers.
    pub peers: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Highest version of the configurations in force here and at live peers.
    pub newest_config_version: Gauge,
    /// Times for which the process did not run.
    pub stalls: Counter,
    /// Evacuated failure domains.
    pub evacuated_domains: Gauge,
    /// Unix time in seconds since when this daemon has known that a failure domain is evacuated.
    pub evacuated_since: Family<Evacuation, Gauge>,
    /// Findings about configurations, counted once per version.
    pub config_findings: Counter,
    /// Tenants that are counted by name.
    tenants: RefCell<HashSet<TenantId>>,
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut res = Self {
            requests: Family::default(),
            denials: Family::default(),
            own_denials: Family::default(),
            tenant_requests: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            waits: Family::new_with_constructor(latency_histogram),
            attempts: Family::default(),
            calls: Family::default(),
            probes: Counter::default(),
            panics: Counter::default(),
            lines_omitted: Counter::default(),
            held_bytes: Family::default(),
            held_bytes_limit: Gauge::default(),
            shed: Family::default(),
            connections: Gauge::default(),
            cold_upstreams: Gauge::default(),
            cold_requests_held: Counter::default(),
            quota_requests: Family::default(),
            peers: Gauge::default(),
            config_version: Gauge::default(),
            newest_config_version: Gauge::default(),
            stalls: Counter::default(),
            evacuated_domains: Gauge::default(),
            evacuated_since: Family::default(),
            config_findings: Counter::default(),
            tenants: RefCell::default(),
            registry: Registry::with_prefix("fireflydrum"),
        };
        res.register();
        res
    }
}

impl Metrics {
    /// Counts a request that has ended.
    pub fn count(&self, route: &str, status: u16, reason: &'static str, took: Duration) {
        let route = route.to_owned();
        self.latency.get_or_create(&Route { route: route.clone() }).observe(took.as_secs_f64());
        self.requests.get_or_create(&Request { route, status, reason }).inc();
    }

    /// Counts a request that was refused before it was read to its end.
    pub fn count_unread(
        &self,
        status: u16,
        reason: &'static str,
        knowledge: impl FnOnce() -> Knowledge,
    ) {
        self.requests.get_or_create(&Request { route: String::new(), status, reason }).inc();
        self.count_denial(status, Origin::Daemon, reason, knowledge);
    }

    /// Counts a request that has ended if its status is from 300 to 499.
    pub fn count_denial(
        &self,
        status: u16,
        origin: Origin,
        reason: &'static str,
        knowledge: impl FnOnce() -> Knowledge,
    ) {
        if !(300..500).contains(&status) {
            return;
        }
        self.denials.get_or_create(&Denial { status, origin: origin.name(), reason }).inc();
        if origin == Origin::Daemon {
            let knowledge = knowledge().name();
            self.own_denials.get_or_create(&OwnDenial { status, knowledge }).inc();
        }
    }

    /// Counts a request of a tenant that has ended. The first tenants are counted by name, further
    /// ones together.
    pub fn count_tenant(&self, tenant: &TenantId, status: u16) {
        let mut tenants = self.tenants.borrow_mut();
        if !tenants.contains(tenant) && tenants.len() < MAX_TENANTS {
            tenants.insert(tenant.clone());
        }
        let tenant = if tenants.contains(tenant) { tenant } else { OTHER_TENANTS }.to_owned();
        self.tenant_requests.get_or_create(&TenantRequest { tenant, class: status / 100 }).inc();
    }

    /// Records the wait of a request that was sent, or refused for `reason`.
    pub fn waited(&self, route: &str, reason: &'static str, took: Duration) {
        let labels = Wait { route: route.to_owned(), reason };
        self.waits.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Counts an attempt at an upstream.
    pub fn attempt(&self, service: &str, cause: &'static str) {
        self.attempts.get_or_create(&Attempt { service: service.to_owned(), cause }).inc();
    }

    /// Counts a request that was checked against a quota.
    pub fn count_quota(&self, is_admitted: bool) {
        let outcome = if is_admitted { "admitted" } else { "refused" };
        self.quota_requests.get_or_create(&Quota { outcome }).inc();
    }

    /// Counts a call to the store.
    pub fn call(&self, call: &'static str, is_ok: bool) {
        let ok = if is_ok { "yes" } else { "no" };
        self.calls.get_or_create(&Call { call, ok }).inc();
    }

    /// Counts a body or connection that was given up.
    pub fn count_shed(&self, kind: &'static str) {
        self.shed.get_or_create(&Shed { kind }).inc();
    }

    /// Sets what is held for callers.
    pub fn set_memory(&self, account: &Account) {
        let bytes = |it: usize| i64::try_from(it).unwrap_or(i64::MAX);
        self.held_bytes_limit.set(bytes(account.limit()));
        for it in Kind::ALL {
            let gauge = self.held_bytes.get_or_create(&Memory { kind: it.name() });
            gauge.set(bytes(account.used_for(it)));
        }
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut res = String::new();
        if let Err(e) = text::encode(&mut res, &self.registry) {
            log::error!("event=metrics-failed error={e}");
        }
        res
    }

    fn register(&mut self) {
        let it = &mut self.registry;
        it.register("requests", "Requests that have ended", self.requests.clone());
        it.register("denials", "Requests ended with 3xx or 4xx", self.denials.clone());
        let own_denials = self.own_denials.clone();
        it.register("own_denials", "Of these, by the daemon and what it knew", own_denials);
        let tenant_requests = self.tenant_requests.clone();
        it.register("tenant_requests", "Requests of tenants that have ended", tenant_requests);
        it.register("latency_seconds", "From reading to answering", self.latency.clone());
        it.register("wait_seconds", "Until sent to an upstream or refused", self.waits.clone());
        it.register("attempts", "Attempts at upstreams", self.attempts.clone());
        it.register("store_calls", "Calls to the platform's store", self.calls.clone());
        it.register("probes", "Probes of upstreams", self.probes.clone());
        it.register("panics", "Panics of tasks", self.panics.clone());
        it.register("log_lines_omitted", "Lines left out", self.lines_omitted.clone());
        it.register("held_bytes", "Bytes held for callers", self.held_bytes.clone());
        let limit = self.held_bytes_limit.clone();
        it.register("held_bytes_limit", "Bytes that may be held for callers", limit);
        it.register("shed", "Bodies and connections given up", self.shed.clone());
        it.register("connections", "Connections of callers", self.connections.clone());
        it.register("cold_upstreams", "Upstreams in slow start", self.cold_upstreams.clone());
        it.register(
            "cold_requests_held",
            "Requests that found only cold upstreams at their limit",
            self.cold_requests_held.clone(),
        );
        it.register(
            "quota_requests",
            "Requests of tenants with quotas",
            self.quota_requests.clone(),
        );
        it.register("peers", "Peers that are alive", self.peers.clone());
        it.register("config_version", "Configuration in force", self.config_version.clone());
        let newest = self.newest_config_version.clone();
        it.register(
            "newest_config_version",
            "Newest configuration in force here or at a live peer",
            newest,
        );
        it.register("stalls", "Times for which the process did not run", self.stalls.clone());
        let evacuated = self.evacuated_domains.clone();
        it.register("evacuated_domains", "Failure domains that are evacuated", evacuated);
        let since = self.evacuated_since.clone();
        it.register("evacuated_since_seconds", "Unix time of the evacuation's begin", since);
        let findings = self.config_findings.clone();
        it.register("config_findings", "Findings about configurations", findings);
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT))
}

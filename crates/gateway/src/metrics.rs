//! Counters, gauges and histograms for Prometheus.

use std::time::Duration;

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

/// Upper bound of the first latency bucket in seconds; each further bucket doubles it.
const FIRST_BUCKET_S: f64 = 0.002;
/// Number of latency buckets; the last ends at 16 s.
const BUCKET_COUNT: u16 = 14;

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

/// Labels of a route.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Route {
    /// Route; empty if none matched.
    pub route: String,
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
    /// Time from reading a request to its answer.
    pub latency: Family<Route, Histogram>,
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
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut res = Self {
            requests: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            attempts: Family::default(),
            calls: Family::default(),
            probes: Counter::default(),
            panics: Counter::default(),
            lines_omitted: Counter::default(),
            connections: Gauge::default(),
            cold_upstreams: Gauge::default(),
            cold_requests_held: Counter::default(),
            quota_requests: Family::default(),
            peers: Gauge::default(),
            config_version: Gauge::default(),
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
        it.register("latency_seconds", "From reading to answering", self.latency.clone());
        it.register("attempts", "Attempts at upstreams", self.attempts.clone());
        it.register("store_calls", "Calls to the platform's store", self.calls.clone());
        it.register("probes", "Probes of upstreams", self.probes.clone());
        it.register("panics", "Panics of tasks", self.panics.clone());
        it.register("log_lines_omitted", "Lines left out", self.lines_omitted.clone());
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
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT))
}

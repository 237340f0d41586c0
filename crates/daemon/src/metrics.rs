//! Counters and gauges for Prometheus.

use std::sync::Mutex;

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};

use crate::{decision::Decision, status::Status};

/// Upper bound of the first latency bucket in seconds; it doubles with each further bucket.
const FIRST_BUCKET_S: f64 = 0.000_25;
/// Number of latency buckets; the last ends at 8 s.
const BUCKETS: u16 = 16;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Request {
    service: String,
    rank: String,
    outcome: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Rank {
    service: String,
    rank: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Service {
    service: String,
}

/// Counters and gauges of one daemon.
pub struct Metrics {
    registry: Mutex<Registry>,
    requests: Family<Request, Counter>,
    attempts: Family<Service, Counter>,
    latency: Family<Rank, Histogram>,
    queued: Family<Rank, Gauge>,
    in_flight: Family<Rank, Gauge>,
    refused: Family<Rank, Gauge>,
    ejected: Family<Service, Gauge>,
    probes: Family<Service, Gauge>,
    decisions_dropped: Gauge,
    version: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let res = Self {
            registry: Mutex::new(Registry::with_prefix("fireflydrum")),
            requests: Family::default(),
            attempts: Family::default(),
            latency: Family::new_with_constructor(latency),
            queued: Family::default(),
            in_flight: Family::default(),
            refused: Family::default(),
            ejected: Family::default(),
            probes: Family::default(),
            decisions_dropped: Gauge::default(),
            version: Gauge::default(),
        };
        res.register();
        res
    }
}

impl Metrics {
    /// Counts a request that has ended.
    pub fn count(&self, it: &Decision) {
        let service = it.service.clone();
        let rank = Rank { service: service.clone(), rank: it.rank.clone() };
        let seconds = f64::from(u32::try_from(it.took_us).unwrap_or(u32::MAX)) / 1e6;
        self.latency.get_or_create(&rank).observe(seconds);
        let attempts = it.attempts.len() as u64;
        self.attempts.get_or_create(&Service { service: service.clone() }).inc_by(attempts);
        let outcome = it.outcome.to_owned();
        self.requests.get_or_create(&Request { service, rank: rank.rank, outcome }).inc();
    }

    /// Encodes all metrics in the text format of Prometheus, with gauges taken from `status`.
    #[must_use]
    pub fn encode(&self, status: &Status) -> String {
        self.set_gauges(status);
        let mut res = String::new();
        let Ok(registry) = self.registry.lock() else { return res };
        if let Err(e) = text::encode(&mut res, &registry) {
            log::error!("metrics can't be encoded: {e}");
        }
        res
    }

    fn register(&self) {
        let Ok(mut to) = self.registry.lock() else { return };
        to.register("requests", "Requests by outcome", self.requests.clone());
        to.register("attempts", "Attempts at upstreams", self.attempts.clone());
        let help = "Time from acceptance to the reply";
        to.register_with_unit("request", help, Unit::Seconds, self.latency.clone());
        to.register("queued_requests", "Requests that wait for a slot", self.queued.clone());
        to.register("requests_in_flight", "Requests that hold a slot", self.in_flight.clone());
        to.register("refused_requests", "Requests refused since the start", self.refused.clone());
        to.register("ejected_upstreams", "Upstreams that are ejected", self.ejected.clone());
        to.register("sent_probes", "Load probes sent since the start", self.probes.clone());
        let help = "Decisions whose log lines were dropped since the start";
        to.register("dropped_decisions", help, self.decisions_dropped.clone());
        let help = "Version of the configuration in force; -1 before the first";
        to.register("configuration_version", help, self.version.clone());
    }

    fn set_gauges(&self, status: &Status) {
        self.decisions_dropped.set(signed(status.decisions_dropped));
        self.version.set(status.version.map_or(-1, signed));
        for service in &status.services {
            let name = Service { service: service.id.clone() };
            self.ejected.get_or_create(&name).set(signed(service.ejected as u64));
            self.probes.get_or_create(&name).set(signed(service.probes));
            for it in &service.ranks {
                let rank = Rank { service: service.id.clone(), rank: it.id.clone() };
                self.queued.get_or_create(&rank).set(signed(it.queued as u64));
                self.in_flight.get_or_create(&rank).set(i64::from(it.in_flight));
                self.refused.get_or_create(&rank).set(signed(it.refused));
            }
        }
    }
}

fn latency() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}

fn signed(it: u64) -> i64 {
    i64::try_from(it).unwrap_or(i64::MAX)
}

//! The routing table of one accepted version of the configuration.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use clock::Clock;
use document::{Document, ServiceId, Version};
use tokio::sync::Notify;

use crate::{
    decision::micros,
    service::{Service, Spec},
};

/// Expected service time of a route before its first answer.
const INITIAL_EXPECTED: Duration = Duration::from_millis(5);
/// Divisor that gives the newest sample's weight in the expected time.
const EXPECTED_WEIGHT: u64 = 8;

/// The routing table of one accepted version of the configuration.
#[derive(Default)]
pub struct Table {
    /// Offset of the accepted publication; `None` before the first.
    pub version: Option<Version>,
    /// The configuration document.
    pub document: Arc<Document>,
    /// Services by name.
    pub services: HashMap<ServiceId, Arc<Service>>,
    /// Routes by path prefix.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Length of the longest path prefix, in bytes.
    longest: usize,
}

/// Properties of the daemon that builds a table.
pub struct Context {
    /// Failure domain of the host.
    pub domain: balance::Domain,
    /// Number of entry hosts that may be running.
    pub hosts: u32,
    /// Clock of the daemon.
    pub clock: Arc<dyn Clock>,
    /// Notified when a request is queued.
    pub request_queued: Arc<Notify>,
    /// Seed of random numbers.
    pub seed: u64,
}

/// A route with its service.
pub struct Route {
    /// The route as configured.
    pub config: document::Route,
    /// Service that answers.
    pub service: Arc<Service>,
    /// Whether attempts may be hedged: the route is idempotent and of the most urgent rank.
    pub may_hedge: bool,
    expected_us: AtomicU64,
}

impl Route {
    /// Returns the expected service time of a backend server.
    #[must_use]
    pub fn expected(&self) -> Duration {
        Duration::from_micros(self.expected_us.load(Ordering::Relaxed))
    }

    /// Updates the expected time with the time of a whole answer.
    pub fn record_service_time(&self, took: Duration) {
        let old = self.expected_us.load(Ordering::Relaxed);
        let new = old - old / EXPECTED_WEIGHT + micros(took) / EXPECTED_WEIGHT;
        self.expected_us.store(new, Ordering::Relaxed);
    }
}

impl Table {
    /// Builds the table for `document`; services that are in `old` keep their state.
    #[must_use]
    pub fn build(
        document: &Arc<Document>,
        version: Version,
        old: &Self,
        context: &Context,
    ) -> Self {
        let ranks = ranks(document);
        let mut upstreams: HashMap<ServiceId, Vec<document::Upstream>> = HashMap::new();
        for it in &document.upstreams {
            upstreams.entry(Arc::clone(&it.service)).or_default().push(it.clone());
        }
        let mut res =
            Self { version: Some(version), document: Arc::clone(document), ..Self::default() };
        for it in &document.services {
            let spec = Spec {
                service: Arc::new(it.clone()),
                ranks: ranks.clone(),
                upstreams: upstreams.remove(&it.id).unwrap_or_default(),
                domain: Arc::clone(&context.domain),
                hosts: context.hosts,
                seed: context.seed,
            };
            let service = match old.services.get(&it.id) {
                Some(service) => {
                    service.update(&spec);
                    Arc::clone(service)
                }
                None => Arc::new(Service::new(
                    &spec,
                    Arc::clone(&context.clock),
                    Arc::clone(&context.request_queued),
                )),
            };
            res.services.insert(Arc::clone(&it.id), service);
        }
        res.add_routes(old);
        res
    }

    /// Finds the route of a request by the longest path prefix. `HEAD` falls back to `GET`.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Arc<Route>> {
        self.find(method, path).or_else(|| match method {
            "HEAD" => self.find("GET", path),
            _ => None,
        })
    }

    /// Whether a route of any method matches `path`.
    #[must_use]
    pub fn has_path(&self, path: &str) -> bool {
        self.prefixes(path).any(|it| self.routes.contains_key(it))
    }

    fn find(&self, method: &str, path: &str) -> Option<&Arc<Route>> {
        self.prefixes(path)
            .filter_map(|it| self.routes.get(it))
            .find_map(|it| it.iter().find(|route| route.config.method == method))
    }

    /// Returns the prefixes of a path that a route may have, longest first: `/a/b`, `/a/`, `/a`, `/`.
    /// Longer ones than those of all routes are left out, since each is looked up.
    fn prefixes<'a>(&self, path: &'a str) -> impl Iterator<Item = &'a str> {
        let cuts = path.char_indices().rev().filter(|(_, it)| *it == '/').flat_map(|(at, _)| {
            let with_slash = &path[..=at];
            let without = &path[..at];
            [with_slash, without]
        });
        let longest = self.longest;
        let all = std::iter::once(path).chain(cuts);
        all.filter(move |it| !it.is_empty() && it.len() <= longest)
    }

    fn add_routes(&mut self, old: &Self) {
        let document = Arc::clone(&self.document);
        let urgent = document.ranks.iter().min_by_key(|it| it.order).map(|it| &it.id);
        for it in &document.routes {
            let Some(service) = self.services.get(&it.service) else { continue };
            let known = old.find(&it.method, &it.path).filter(|known| known.config.id == it.id);
            let expected = known.map_or(INITIAL_EXPECTED, |it| it.expected());
            let route = Route {
                config: it.clone(),
                service: Arc::clone(service),
                may_hedge: it.idempotent && urgent == Some(&it.rank),
                expected_us: AtomicU64::new(micros(expected)),
            };
            self.longest = self.longest.max(it.path.len());
            self.routes.entry(it.path.clone()).or_default().push(Arc::new(route));
        }
    }
}

fn ranks(document: &Document) -> Vec<admission::Rank> {
    let convert = |it: &document::Rank| admission::Rank {
        id: Arc::clone(&it.id),
        order: it.order,
        floor_percent: it.floor_percent,
    };
    document.ranks.iter().map(convert).collect()
}

//! Lookup of the route and the tenant of a request.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use super::{
    Config, Gap, KeyDigest, Limits, Region, Route, Service, ServiceId, Tenant, Version,
    key_index::KeyIndex,
};

/// A configuration prepared for request handling; it is replaced as a whole.
#[derive(Debug, Default)]
pub struct Table {
    /// Version of the configuration.
    pub version: Version,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Parts of the configuration that could not be read.
    pub gaps: BTreeSet<Gap>,
    /// Services by name.
    pub services: HashMap<ServiceId, Service>,
    hosts: HashMap<String, Prefixes>,
    keys: Option<KeyIndex>,
}

#[derive(Debug, Default)]
struct Prefixes {
    routes: HashMap<String, Arc<Route>>,
    /// Length of the longest prefix, in bytes.
    longest: usize,
}

impl Prefixes {
    /// Prefixes of `path` that a route may have, longest first. Each is looked up, so none is longer
    /// than the longest prefix that is configured.
    fn candidates<'a>(&self, path: &'a str) -> impl Iterator<Item = &'a str> + use<'a> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let bytes = &path.as_bytes()[..path.len().min(self.longest)];
        let ends = bytes.iter().enumerate().rev().filter(|(_, it)| **it == b'/');
        ends.map(move |(it, _)| &path[..=it])
    }
}

impl Table {
    /// Prepares `config`. Of several routes with the same host and prefix, the last one is used.
    #[must_use]
    pub fn new(config: Config) -> Self {
        let mut res = Self {
            version: config.version,
            limits: config.limits,
            gaps: config.gaps,
            services: config.services.into_iter().map(|it| (it.id.clone(), it)).collect(),
            hosts: HashMap::new(),
            keys: config.tenants.map(KeyIndex::new),
        };
        for it in config.routes {
            let prefixes = res.hosts.entry(it.host.clone()).or_default();
            prefixes.longest = prefixes.longest.max(it.prefix.len());
            prefixes.routes.insert(it.prefix.clone(), Arc::new(it));
        }
        res
    }

    /// Finds the route of `host` with the longest prefix of `path`.
    ///
    /// The port of `host` and the query of `path` are ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.prefixes(host)?;
        prefixes.candidates(path).find_map(|it| prefixes.routes.get(it))
    }

    /// Prefixes of `path` that a route of `host` may have, longest first; each is looked up.
    pub fn candidates<'a>(&self, host: &str, path: &'a str) -> impl Iterator<Item = &'a str> {
        self.prefixes(host).into_iter().flat_map(move |it| it.candidates(path))
    }

    fn prefixes(&self, host: &str) -> Option<&Prefixes> {
        let host = host.split_once(':').map_or(host, |(name, _port)| name);
        self.hosts.get(host).or_else(|| self.hosts.get(&host.to_ascii_lowercase()))
    }

    /// Whether the configuration has tenants, so that requests need a key except on public routes.
    #[must_use]
    pub fn has_tenants(&self) -> bool {
        self.keys.is_some()
    }

    /// Tenant with the key `key`.
    #[must_use]
    pub fn tenant(&self, key: &[u8]) -> Option<&Arc<Tenant>> {
        // Without tenants, the digest is not computed.
        self.keys.as_ref()?.find(&KeyDigest::new(key))
    }

    /// Regions whose hosts may be named to callers of `host`; `None` if all may.
    ///
    /// A host's routes may have different homes, and the path of a request is not known before it is
    /// sent: the regions are those that all routes with homes have in common, or else those that any
    /// has.
    #[must_use]
    pub fn homes(&self, host: &str) -> Option<BTreeSet<Region>> {
        let host = host.split_once(':').map_or(host, |(name, _port)| name);
        let prefixes = self.hosts.get(&host.to_ascii_lowercase())?;
        let routes = prefixes.routes.values().filter(|it| !it.homes.is_empty());
        let homes: Vec<BTreeSet<_>> = routes.map(|it| it.homes.iter().cloned().collect()).collect();
        let common = homes.iter().cloned().reduce(|a, b| &a & &b)?;
        let is_common = !common.is_empty();
        Some(if is_common { common } else { homes.into_iter().flatten().collect() })
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(|it| it.routes.values())
    }
}

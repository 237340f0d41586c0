//! Which service an upstream belongs to, and which upstream a datagram means.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use super::UpstreamId;
use crate::config::ServiceId;

/// Hash that stands for an upstream's id in datagrams.
pub type Key = u32;

/// Upstreams by id and by the hash of their id.
#[derive(Debug, Default)]
pub struct Index {
    services: HashMap<UpstreamId, ServiceId>,
    ids: HashMap<Key, UpstreamId>,
}

impl Index {
    /// Notes the service of an upstream; gives the one that it belonged to before.
    pub fn put(&mut self, id: &UpstreamId, service: &ServiceId) -> Option<ServiceId> {
        self.ids.insert(key(id), id.clone());
        self.services.insert(id.clone(), service.clone())
    }

    /// Forgets an upstream; gives the service that it belonged to.
    pub fn remove(&mut self, id: &str) -> Option<ServiceId> {
        // Another upstream whose id has the same hash keeps it.
        if self.ids.get(&key(id)).is_some_and(|it| &**it == id) {
            self.ids.remove(&key(id));
        }
        self.services.remove(id)
    }

    /// Service of an upstream.
    #[must_use]
    pub fn service(&self, id: &str) -> Option<&ServiceId> {
        self.services.get(id)
    }

    /// The upstream that a hash stands for, and its service. If the ids of two have the same hash, it
    /// is the one that registered last.
    #[must_use]
    pub fn find(&self, key: Key) -> Option<(&UpstreamId, &ServiceId)> {
        let id = self.ids.get(&key)?;
        Some((id, self.services.get(id)?))
    }
}

/// Hash that stands for an upstream's id.
#[must_use]
pub fn key(id: &str) -> Key {
    // The lower half of a good hash is one.
    #[expect(clippy::cast_possible_truncation)]
    let res = xxh3_64(id.as_bytes()) as Key;
    res
}

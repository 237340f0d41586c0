//! Finds the service of an upstream, and the upstream that a datagram refers to.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use super::UpstreamId;
use crate::config::ServiceId;

/// Hash that identifies an upstream in datagrams.
pub type Key = u32;

/// Upstreams by id and by the hash of their id.
#[derive(Debug, Default)]
pub struct Index {
    services: HashMap<UpstreamId, ServiceId>,
    ids: HashMap<Key, UpstreamId>,
}

impl Index {
    /// Sets the service of an upstream; returns the previous one.
    pub fn insert(&mut self, id: &UpstreamId, service: &ServiceId) -> Option<ServiceId> {
        self.ids.insert(key(id), id.clone());
        self.services.insert(id.clone(), service.clone())
    }

    /// Removes an upstream; returns its service.
    pub fn remove(&mut self, id: &str) -> Option<ServiceId> {
        // The hash may belong to another upstream whose id collides.
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

    /// The upstream with the given hash, and its service. If two ids collide, this is the upstream
    /// that registered last.
    #[must_use]
    pub fn find(&self, key: Key) -> Option<(&UpstreamId, &ServiceId)> {
        let id = self.ids.get(&key)?;
        Some((id, self.services.get(id)?))
    }
}

/// Computes the hash of an upstream's id.
#[must_use]
pub fn key(id: &str) -> Key {
    // Any 32 bits of the hash are equally good.
    #[expect(clippy::cast_possible_truncation)]
    let res = xxh3_64(id.as_bytes()) as Key;
    res
}

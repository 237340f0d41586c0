//! Lookup of tenants by their keys.

use std::{collections::HashMap, fmt, sync::Arc};

use super::{KeyDigest, Tenant};

/// Tenants by the digests of their keys. The cost of a lookup does not depend on the number of keys.
pub(super) struct KeyIndex {
    by_prefix: HashMap<[u8; 8], Vec<(KeyDigest, Arc<Tenant>)>>,
}

impl KeyIndex {
    /// Indexes the keys of `tenants`. A key of several tenants belongs to the first of them.
    pub(super) fn new(tenants: Vec<Tenant>) -> Self {
        let mut res = Self { by_prefix: HashMap::new() };
        for it in tenants.into_iter().map(Arc::new) {
            for key in &it.keys {
                if res.find(key).is_none() {
                    res.by_prefix.entry(key.prefix()).or_default().push((*key, Arc::clone(&it)));
                }
            }
        }
        res
    }

    /// Tenant with the key whose digest is `digest`. Whole digests are compared in constant time.
    pub(super) fn find(&self, digest: &KeyDigest) -> Option<&Arc<Tenant>> {
        let candidates = self.by_prefix.get(&digest.prefix())?;
        candidates.iter().find(|(key, _)| key == digest).map(|(_, tenant)| tenant)
    }
}

impl fmt::Debug for KeyIndex {
    /// Shows only the number of keys: a short key could be found from a part of its digest by trial.
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keys: usize = self.by_prefix.values().map(Vec::len).sum();
        out.debug_struct("KeyIndex").field("keys", &keys).finish_non_exhaustive()
    }
}

//! Failure domains whose upstreams a request may be sent to.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{config::Region, registry::Domain};

/// Failure domains whose upstreams a request may be sent to.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub enum Domains {
    /// All of them.
    #[default]
    All,
    /// Only these.
    Only(Arc<BTreeSet<Domain>>),
}

impl Domains {
    /// Domains in the regions `homes`, or all if `homes` is empty. `regions` has the region of each
    /// domain; a domain of an unknown region is in none of them.
    #[must_use]
    pub fn within(homes: &[Region], regions: &BTreeMap<Domain, Region>) -> Self {
        if homes.is_empty() {
            return Self::All;
        }
        let inside = regions.iter().filter(|(_, region)| homes.contains(region));
        Self::Only(Arc::new(inside.map(|(domain, _)| Arc::clone(domain)).collect()))
    }

    /// Whether upstreams in some failure domains may not get the request.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        *self != Self::All
    }

    /// Whether an upstream in `domain` may get the request.
    #[must_use]
    pub fn contains(&self, domain: &Domain) -> bool {
        match self {
            Self::All => true,
            Self::Only(it) => it.contains(domain),
        }
    }

    /// Domains in this or the other set.
    #[must_use]
    pub fn union(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Only(a), Self::Only(b)) => Self::Only(Arc::new(a.union(b).cloned().collect())),
            _ => Self::All,
        }
    }
}

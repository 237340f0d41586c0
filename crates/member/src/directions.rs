//! The order in which a caller should use the entry hosts.

use std::{
    cmp::Reverse,
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::{Domain, Identity};

/// Sorts hosts for `caller` by rendezvous hashing, those of `domain` first.
///
/// Each caller has an order of its own that all daemons agree on; when a host goes only its callers
/// move, spread over all others.
pub(crate) fn sort(hosts: &mut [&Identity], caller: &str, domain: Option<&Domain>) {
    hosts.sort_by_cached_key(|it| {
        let elsewhere = domain.is_some_and(|wanted| *wanted != it.domain);
        (elsewhere, Reverse(weight(caller, it)), it.entry)
    });
}

fn weight(caller: &str, host: &Identity) -> u64 {
    let mut hasher = DefaultHasher::new();
    caller.hash(&mut hasher);
    host.entry.hash(&mut hasher);
    hasher.finish()
}

//! The order in which a caller should try the entry hosts.

use std::{
    cmp::Reverse,
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::{Domain, Identity};

/// Sorts hosts for `caller` by rendezvous hashing, those of `domain` first.
///
/// All daemons compute the same order for a caller. When a host leaves, only its callers change
/// their first host, and they are spread over all others.
pub(crate) fn sort(hosts: &mut [&Identity], caller: &str, domain: Option<&Domain>) {
    hosts.sort_by_cached_key(|it| {
        let is_remote = domain.is_some_and(|wanted| *wanted != it.domain);
        (is_remote, Reverse(weight(caller, it)), it.entry)
    });
}

fn weight(caller: &str, host: &Identity) -> u64 {
    let mut hasher = DefaultHasher::new();
    caller.hash(&mut hasher);
    host.entry.hash(&mut hasher);
    hasher.finish()
}

//! The load digests of the peers.

use std::collections::{BTreeMap, HashMap};

use crate::{Digest, HostId, UpstreamId, moment::Moment};

/// Requests of all peers at one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Aggregate {
    /// Requests in flight, summed over the peers.
    pub(crate) in_flight: f64,
    /// Time of the oldest digest in the sum.
    pub(crate) at: Option<Moment>,
}

/// The last digest of each peer.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    digests: BTreeMap<HostId, (Moment, Digest)>,
}

impl Peers {
    /// Stores a digest and drops those older than `ttl` seconds.
    pub(crate) fn insert(&mut self, now: Moment, ttl: f64, host: HostId, digest: Digest) {
        self.digests.insert(host, (now, digest));
        self.digests.retain(|_, (at, _)| now - *at <= ttl);
    }

    /// Drops the digest of a peer.
    pub(crate) fn remove(&mut self, host: &str) {
        self.digests.remove(host);
    }

    /// Sums of the digests by upstream; upstreams in `ids` that no digest lists have 0 requests.
    pub(crate) fn aggregates<'a>(
        &self,
        ids: impl Iterator<Item = &'a UpstreamId>,
    ) -> HashMap<&'a UpstreamId, Aggregate> {
        let at = self.digests.values().map(|(at, _)| *at).reduce(f64::min);
        let mut res: HashMap<_, _> = ids.map(|it| (it, Aggregate { in_flight: 0.0, at })).collect();
        for entry in self.digests.values().flat_map(|(_, it)| &it.entries) {
            let Some(aggregate) = res.get_mut(&entry.upstream) else { continue };
            aggregate.in_flight += f64::from(entry.in_flight);
        }
        res
    }
}

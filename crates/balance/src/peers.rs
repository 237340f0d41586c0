//! What the peers said of their load.

use std::collections::{BTreeMap, HashMap};

use crate::{Digest, HostId, UpstreamId, moment::Moment};

/// What the peers together said of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Told {
    /// Their requests in flight.
    pub(crate) in_flight: f64,
    /// Time of the oldest digest that counts.
    pub(crate) at: Option<Moment>,
}

/// The last digest of each peer.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    digests: BTreeMap<HostId, (Moment, Digest)>,
}

impl Peers {
    /// Takes in a digest and drops those older than `life` seconds.
    pub(crate) fn insert(&mut self, now: Moment, life: f64, host: HostId, digest: Digest) {
        self.digests.insert(host, (now, digest));
        self.digests.retain(|_, (at, _)| now - *at <= life);
    }

    /// Drops what a peer said.
    pub(crate) fn remove(&mut self, host: &str) {
        self.digests.remove(host);
    }

    /// What the peers together said, by upstream; upstreams in `ids` that no peer named are idle.
    pub(crate) fn told<'a>(
        &self,
        ids: impl Iterator<Item = &'a UpstreamId>,
    ) -> HashMap<&'a UpstreamId, Told> {
        let at = self.digests.values().map(|(at, _)| *at).reduce(f64::min);
        let mut res: HashMap<_, _> = ids.map(|it| (it, Told { in_flight: 0.0, at })).collect();
        for entry in self.digests.values().flat_map(|(_, it)| &it.entries) {
            let Some(told) = res.get_mut(&entry.upstream) else { continue };
            told.in_flight += f64::from(entry.in_flight);
        }
        res
    }
}

//! Which daemons look after which upstreams.
//!
//! In a large fleet each daemon uses a part of the upstreams as long as these have room, and only the
//! daemons that share an upstream tell each other of its load. Connections, reports and datagrams
//! then don't grow with the product of daemons and upstreams. Every daemon works out the same
//! placement from the same members, without a word exchanged.

use std::{collections::HashMap, net::SocketAddr, rc::Rc};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    load::Service,
    registry::{Domain, Registration, UpstreamId},
};

/// Daemons up to which every one looks after every upstream.
const SMALL_FLEET: usize = 6;
/// Upstreams of a service that a daemon looks after on average, at least: enough to find one that is
/// undisturbed and has room.
const MIN_UPSTREAMS: usize = 8;
/// Daemons that look after an upstream, at least: it gets work also when some of them end.
const MIN_KEEPERS: usize = 2;

/// A daemon that may look after upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Daemon {
    /// Address of its datagrams.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
}

/// Which peers look after which upstreams.
#[derive(Debug, Default)]
pub struct Placement {
    own: Option<Daemon>,
    daemons: Vec<Daemon>,
    keepers: HashMap<UpstreamId, Rc<[SocketAddr]>>,
    is_current: bool,
}

impl Placement {
    /// Notes that daemons or upstreams have come or gone.
    pub fn expire(&mut self) {
        self.is_current = false;
    }

    /// Whether daemons or upstreams have come or gone since it was worked out.
    #[must_use]
    pub fn is_expired(&self) -> bool {
        !self.is_current
    }

    /// Begins anew with the `daemons` that may look after upstreams, of which `own` may be one.
    pub fn begin(&mut self, own: Daemon, daemons: Vec<Daemon>) {
        (self.own, self.daemons) = (Some(own), daemons);
        self.keepers.clear();
        self.is_current = true;
    }

    /// Places the upstreams of a service, and tells it which of them this daemon looks after.
    pub fn add(&mut self, service: &mut Service) {
        let own = self.own.as_ref().map(|it| it.address);
        let count = keeper_count(self.daemons.len(), service.iter().count());
        for it in service.iter_mut() {
            let Registration { id, domain, .. } = &it.registration;
            let mut found = keepers(id, domain, &self.daemons, count);
            let before = found.len();
            found.retain(|it| Some(*it) != own);
            it.is_assigned = found.len() < before;
            self.keepers.insert(it.registration.id.clone(), found.into());
        }
    }

    /// Peers that look after an upstream.
    #[must_use]
    pub fn keepers(&self, id: &str) -> Option<Rc<[SocketAddr]>> {
        self.keepers.get(id).cloned()
    }
}

/// Number of daemons, out of `daemons`, that look after each of a service's `upstreams`.
#[must_use]
pub fn keeper_count(daemons: usize, upstreams: usize) -> usize {
    if daemons <= SMALL_FLEET {
        return daemons;
    }
    let wanted = (MIN_UPSTREAMS * daemons).div_ceil(upstreams.max(1));
    wanted.max(MIN_KEEPERS).min(daemons)
}

/// The `count` daemons that look after an upstream, those in its failure domain first.
#[must_use]
pub fn keepers(id: &str, domain: &str, daemons: &[Daemon], count: usize) -> Vec<SocketAddr> {
    let seed = xxh3_64(id.as_bytes());
    let order = |it: &Daemon| {
        let hash = xxh3_64(&[hash_of(it.address).to_le_bytes(), seed.to_le_bytes()].concat());
        (&*it.domain != domain, hash, it.address)
    };
    let mut res: Vec<_> = daemons.iter().map(order).collect();
    if count < res.len() {
        res.select_nth_unstable(count);
        res.truncate(count);
    }
    res.into_iter().map(|(_, _, address)| address).collect()
}

fn hash_of(address: SocketAddr) -> u64 {
    match address {
        SocketAddr::V4(it) => xxh3_64(&it.ip().octets()),
        SocketAddr::V6(it) => xxh3_64(&it.ip().octets()),
    }
}

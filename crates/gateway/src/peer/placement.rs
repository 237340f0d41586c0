//! Assignment of upstreams to daemons by rendezvous hashing.
//!
//! In a large fleet each daemon uses a part of the upstreams as long as these have capacity, and
//! only daemons assigned to the same upstream send each other its load. The number of connections,
//! reports and datagrams then does not grow with the product of daemons and upstreams. Every daemon
//! computes the same placement from the same members, without communication.

use std::{
    borrow::Cow,
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    load::Service,
    registry::{Domain, Registration, UpstreamId},
};

/// Number of daemons up to which each upstream is assigned to every daemon.
const SMALL_FLEET: usize = 6;
/// Minimum mean number of a service's upstreams assigned to a daemon: enough to find one with
/// normal pace and free capacity.
const MIN_UPSTREAMS: usize = 8;
/// Minimum number of daemons assigned to an upstream, so that it gets requests also when some of
/// them stop.
const MIN_DAEMONS: usize = 2;

/// A daemon that upstreams may be assigned to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Daemon {
    /// Address of its datagrams.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
}

/// The assignment of upstreams to daemons.
#[derive(Debug, Default)]
pub struct Placement {
    own: Option<Daemon>,
    daemons: Vec<Daemon>,
    /// Daemons that share the rates of cold upstreams.
    warmers: Vec<Daemon>,
    evacuated: BTreeSet<Domain>,
    assigned: HashMap<UpstreamId, Rc<[SocketAddr]>>,
    is_valid: bool,
}

impl Placement {
    /// Marks the placement as outdated, because daemons or upstreams were added or removed.
    pub fn invalidate(&mut self) {
        self.is_valid = false;
    }

    /// Whether daemons or upstreams were added or removed since it was computed.
    #[must_use]
    pub fn is_invalid(&self) -> bool {
        !self.is_valid
    }

    /// Discards all assignments and starts a new placement on `daemons`, which may include `own`.
    /// `evacuated` are the evacuated failure domains.
    pub fn reset(&mut self, own: Daemon, daemons: Vec<Daemon>, evacuated: BTreeSet<Domain>) {
        (self.own, self.daemons, self.evacuated) = (Some(own), daemons, evacuated);
        self.warmers.clone_from(&self.daemons);
        self.assigned.clear();
        self.is_valid = true;
    }

    /// Divides the rates of cold upstreams among `daemons` instead, since callers use no daemon much
    /// and each one then has all upstreams assigned.
    pub fn set_warmers(&mut self, daemons: Vec<Daemon>) {
        self.warmers = daemons;
    }

    /// Assigns the upstreams of a service, and marks in it those that are assigned to this daemon.
    ///
    /// A daemon in an evacuated domain counts as one of another domain: otherwise it would be assigned
    /// no upstreams that it may use, and would choose among upstreams whose load it does not know.
    pub fn add_service(&mut self, service: &mut Service) {
        let own = self.own.as_ref().map(|it| it.address);
        let usable = service.iter().filter(|it| !it.is_evacuated).count();
        let count = daemons_per_upstream(self.daemons.len(), usable);
        let moved = outside_evacuated(&self.daemons, &self.evacuated, service);
        let warmers = outside_evacuated(&self.warmers, &self.evacuated, service);
        let is_limited = service.slow_start().is_limited();
        for it in service.iter_mut() {
            let Registration { id, domain, .. } = &it.registration;
            let mut daemons = assign(id, domain, &moved, count);
            let before = daemons.len();
            daemons.retain(|it| Some(*it) != own);
            it.is_assigned = daemons.len() < before;
            let rank = own.filter(|_| is_limited).and_then(|own| rank(id, domain, &warmers, own));
            it.temperature.set_rank(rank);
            self.assigned.insert(it.registration.id.clone(), daemons.into());
        }
    }

    /// Peers that an upstream is assigned to.
    #[must_use]
    pub fn peers_of(&self, id: &str) -> Option<Rc<[SocketAddr]>> {
        self.assigned.get(id).cloned()
    }
}

/// Number of daemons, out of `daemons`, that each of a service's `upstreams` is assigned to.
#[must_use]
pub fn daemons_per_upstream(daemons: usize, upstreams: usize) -> usize {
    if daemons <= SMALL_FLEET {
        return daemons;
    }
    let wanted = (MIN_UPSTREAMS * daemons).div_ceil(upstreams.max(1));
    wanted.max(MIN_DAEMONS).min(daemons)
}

/// The `count` daemons that an upstream is assigned to, those in its failure domain first.
#[must_use]
pub fn assign(id: &str, domain: &str, daemons: &[Daemon], count: usize) -> Vec<SocketAddr> {
    let order = order(id, domain);
    let mut res: Vec<_> = daemons.iter().map(order).collect();
    if count < res.len() {
        res.select_nth_unstable(count);
        res.truncate(count);
    }
    res.into_iter().map(|(_, _, address)| address).collect()
}

/// Number of `daemons` that precede `own` among those that an upstream is assigned to; `None` if
/// `own` is none of them.
#[must_use]
pub fn rank(id: &str, domain: &str, daemons: &[Daemon], own: SocketAddr) -> Option<usize> {
    let order = order(id, domain);
    let own = order(daemons.iter().find(|it| it.address == own)?);
    Some(daemons.iter().filter(|it| order(it) < own).count())
}

/// Order in which an upstream is assigned to daemons.
fn order(id: &str, domain: &str) -> impl Fn(&Daemon) -> (bool, u64, SocketAddr) {
    let seed = xxh3_64(id.as_bytes());
    move |it| {
        let hash = xxh3_64(&[hash_of(it.address).to_le_bytes(), seed.to_le_bytes()].concat());
        (&*it.domain != domain, hash, it.address)
    }
}

/// The daemons, of which those in an evacuated domain are divided among the other domains of the
/// service's upstreams.
fn outside_evacuated<'a>(
    daemons: &'a [Daemon],
    evacuated: &BTreeSet<Domain>,
    service: &Service,
) -> Cow<'a, [Daemon]> {
    if evacuated.is_empty() {
        return Cow::Borrowed(daemons);
    }
    let usable = service.iter().filter(|it| !it.is_evacuated);
    let domains: BTreeSet<_> = usable.map(|it| &it.registration.domain).collect();
    let domain_of = |it: &Daemon| {
        if !evacuated.contains(&it.domain) {
            return it.domain.clone();
        }
        let hash = hash_of(it.address).to_le_bytes();
        let order = |domain: &&&Domain| xxh3_64(&[&hash, domain.as_bytes()].concat());
        domains.iter().min_by_key(order).map_or(&it.domain, |it| *it).clone()
    };
    let moved = |it: &Daemon| Daemon { address: it.address, domain: domain_of(it) };
    Cow::Owned(daemons.iter().map(moved).collect())
}

fn hash_of(address: SocketAddr) -> u64 {
    match address {
        SocketAddr::V4(it) => xxh3_64(&it.ip().octets()),
        SocketAddr::V6(it) => xxh3_64(&it.ip().octets()),
    }
}

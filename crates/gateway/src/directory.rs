//! Addresses of entry hosts for callers.

use std::net::SocketAddr;

use crate::{
    gateway::Gateway,
    peer::{Capacity, Phase},
    request::{Refusal, Reply},
};

/// Most addresses told to one caller.
const MAX_ADDRESSES: usize = 64;
/// Fewest addresses told, if there are so many: a caller that loses one has another at once.
const MIN_ADDRESSES: usize = 2;
/// Share of the processor of the hosts told that may be in use before more are told; the rest is for
/// bursts that come faster than callers ask again.
const CPU_SHARE: f32 = 0.4;
/// Share of the best link's bandwidth that a host's link must have to be told before it is needed:
/// on a slow link, one large body holds up every other answer.
const LINK_SHARE: f32 = 0.5;

/// An entry host that serves callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Whether it is in the caller's failure domain.
    pub is_near: bool,
    /// What it can do.
    pub capacity: Capacity,
}

/// Tells a caller which entry hosts to use.
#[must_use]
pub fn answer(gateway: &Gateway, target: &[u8]) -> Reply {
    let domain = parameter(target, "zone").unwrap_or_default();
    let hash = usize::from(domain.bytes().fold(0, u8::wrapping_add));
    let addresses = choose(serving(gateway, domain), hash);
    if addresses.is_empty() {
        return Reply::refuse(Refusal::not_ready(), None);
    }
    let keep = gateway.settings().directory_keep;
    Reply::text(200, "application/json", (gateway.protocol.directory)(&addresses, keep))
}

/// The hosts to tell: those in the caller's failure domain with good links, some of other domains if these
/// are too few, and slow ones of the domain if the processors of the others are in use. A slow link nearby
/// costs a caller more than the way to another domain.
#[must_use]
pub fn choose(hosts: Vec<Host>, hash: usize) -> Vec<SocketAddr> {
    let best = hosts.iter().map(|it| it.capacity.link_mbps).fold(0.0, f32::max);
    let is_good = |it: &Host| it.capacity.link_mbps >= best * LINK_SHARE;
    let (near, far): (Vec<_>, Vec<_>) = hosts.into_iter().partition(|it| it.is_near);
    let used: f32 = near.iter().map(|it| it.capacity.used_cores).sum();
    let (near, near_slow): (Vec<_>, Vec<_>) = near.into_iter().partition(is_good);
    let (far, far_slow): (Vec<_>, Vec<_>) = far.into_iter().partition(is_good);
    // Callers of a domain with few hosts spread over the rest, not all over the first of them.
    let mut far = rotated(far, hash);
    let mut told = sorted(near);
    // Without a good host nearby, they spread over all good ones elsewhere.
    let enough = if told.is_empty() { far.len() } else { MIN_ADDRESSES };
    let missing = enough.saturating_sub(told.len()).min(far.len());
    told.extend(far.drain(..missing));
    for it in sorted(near_slow) {
        let cores: f32 = told.iter().map(|it| it.capacity.cpu_cores).sum();
        if told.len() < MIN_ADDRESSES || cores * CPU_SHARE < used {
            told.push(it);
        }
    }
    let missing = MIN_ADDRESSES.saturating_sub(told.len());
    told.extend(rotated(far_slow, hash).into_iter().take(missing));
    told.truncate(MAX_ADDRESSES);
    told.into_iter().map(|it| it.address).collect()
}

/// Hosts in the order of their links, the best first.
fn sorted(mut hosts: Vec<Host>) -> Vec<Host> {
    hosts.sort_by(|a, b| {
        let link = b.capacity.link_mbps.total_cmp(&a.capacity.link_mbps);
        link.then(a.address.cmp(&b.address))
    });
    hosts
}

/// The same, beginning at another one for each domain of callers.
fn rotated(hosts: Vec<Host>, hash: usize) -> Vec<Host> {
    let mut res = sorted(hosts);
    let start = hash.checked_rem(res.len()).unwrap_or_default();
    res.rotate_left(start);
    res
}

fn serving(gateway: &Gateway, domain: &str) -> Vec<Host> {
    let settings = gateway.settings();
    let peers = gateway.peers.borrow();
    let mut res: Vec<_> = peers
        .live_peers(gateway.now())
        .filter(|(_, it)| it.heartbeat.phase == Phase::Ready)
        .map(|(_, it)| Host {
            address: it.heartbeat.caller_address,
            is_near: &*it.heartbeat.domain == domain,
            capacity: it.heartbeat.capacity,
        })
        .collect();
    if gateway.phase.get() == Phase::Ready {
        let is_near = &*settings.domain == domain;
        let capacity = gateway.capacity();
        res.push(Host { address: settings.caller_address, is_near, capacity });
    }
    res
}

/// Value of a parameter in the query of a target.
fn parameter<'a>(target: &'a [u8], name: &str) -> Option<&'a str> {
    let (_, query) = std::str::from_utf8(target).ok()?.split_once('?')?;
    query
        .split('&')
        .filter_map(|it| it.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|it| it.1)
}

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
    Reply::text(200, "application/json", (gateway.dialect.directory)(&addresses, keep))
}

/// The hosts to tell: those in the caller's failure domain that have the best links, more of them if
/// their processors are in use, and others if these are too few.
#[must_use]
pub fn choose(mut hosts: Vec<Host>, hash: usize) -> Vec<SocketAddr> {
    let order = |it: &Host| (!it.is_near, it.capacity.link_mbps, it.address);
    hosts.sort_by(|a, b| {
        let (a, b) = (order(a), order(b));
        a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2))
    });
    let near = hosts.iter().filter(|it| it.is_near).count();
    if near < MIN_ADDRESSES && hosts.len() > near {
        // Callers of a domain with few hosts spread over the rest, not all over the first of them.
        let rest = hosts.len() - near;
        hosts[near..].rotate_left(hash % rest);
    }
    let used: f32 = hosts[..near].iter().map(|it| it.capacity.used_cores).sum();
    let best = hosts.first().map_or(0.0, |it| it.capacity.link_mbps);
    let mut cores = 0.0;
    let mut is_told = |(place, it): &(usize, Host)| {
        let is_needed = *place < MIN_ADDRESSES || cores * CPU_SHARE < used;
        let is_good = it.capacity.link_mbps >= best * LINK_SHARE;
        cores += it.capacity.cpu_cores;
        is_needed || is_good
    };
    let limit = near.clamp(MIN_ADDRESSES, MAX_ADDRESSES);
    let told = hosts.into_iter().take(limit).enumerate().filter(|it| is_told(it));
    told.map(|(_, it)| it.address).collect()
}

fn serving(gateway: &Gateway, domain: &str) -> Vec<Host> {
    let settings = gateway.settings();
    let peers = gateway.peers.borrow();
    let mut res: Vec<_> = peers
        .live_peers(gateway.now())
        .filter(|(_, it)| it.beat.phase == Phase::Ready)
        .map(|(_, it)| Host {
            address: it.beat.caller_address,
            is_near: &*it.beat.domain == domain,
            capacity: it.beat.capacity,
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

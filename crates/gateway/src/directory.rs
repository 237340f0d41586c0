//! Addresses of entry hosts for callers.

use std::net::SocketAddr;

use crate::{
    gateway::Gateway,
    peer::Phase,
    request::{Refusal, Reply},
};

/// Most addresses told to one caller.
const MAX_ADDRESSES: usize = 64;
/// Fewest addresses told, if there are so many: a caller that loses one has another at once.
const MIN_ADDRESSES: usize = 2;

/// Tells a caller which entry hosts to use: those in its failure domain, and others if these are
/// too few.
#[must_use]
pub fn answer(gateway: &Gateway, target: &[u8]) -> Reply {
    let domain = parameter(target, "zone").unwrap_or_default();
    let addresses = entry_hosts(gateway, domain);
    if addresses.is_empty() {
        return Reply::refuse(Refusal::not_ready(), None);
    }
    let keep = gateway.settings().directory_keep;
    Reply::text(200, "application/json", (gateway.dialect.directory)(&addresses, keep))
}

fn entry_hosts(gateway: &Gateway, domain: &str) -> Vec<SocketAddr> {
    let now = gateway.now();
    let settings = gateway.settings();
    let peers = gateway.peers.borrow();
    let mut hosts: Vec<(bool, SocketAddr)> = peers
        .live_peers(now)
        .filter(|(_, it)| it.beat.phase == Phase::Ready)
        .map(|(_, it)| (&*it.beat.domain == domain, it.beat.caller_address))
        .collect();
    if gateway.phase.get() == Phase::Ready {
        hosts.push((&*settings.domain == domain, settings.caller_address));
    }
    hosts.sort_by_key(|(is_near, address)| (!is_near, *address));
    let near = hosts.iter().filter(|(is_near, _)| *is_near).count();
    if near < MIN_ADDRESSES {
        // Callers of a domain with few hosts spread over the rest, not all over the first of them.
        let start = near + usize::from(domain.bytes().fold(0, u8::wrapping_add));
        let rest = hosts.len() - near;
        if rest > 0 {
            hosts[near..].rotate_left(start % rest);
        }
    }
    let count = near.max(MIN_ADDRESSES).min(MAX_ADDRESSES);
    hosts.into_iter().map(|(_, address)| address).take(count).collect()
}

/// Value of a parameter in the query of a target.
fn parameter<'a>(target: &'a [u8], name: &str) -> Option<&'a str> {
    let (_, query) = std::str::from_utf8(target).ok()?.split_once('?')?;
    query.split('&').filter_map(|it| it.split_once('=')).find(|(key, _)| *key == name).map(|it| it.1)
}

//! Directory of entry hosts for callers.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use crate::{
    config::Region,
    gateway::Gateway,
    peer::{Capacity, Phase},
    request::{Refusal, Reply},
};

/// Maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 64;
/// Minimum number of addresses in an answer, if there are so many hosts: a caller that loses one
/// has another immediately.
const MIN_ADDRESSES: usize = 2;
/// Share of the selected hosts' processor time that may be in use before more hosts are selected.
/// The rest absorbs load that rises faster than callers fetch the directory again.
const MAX_CPU_SHARE: f32 = 0.4;
/// Share of the best link's bandwidth that a host's link must have to be preferred: on a slow link,
/// one large body delays every other answer.
const MIN_LINK_SHARE: f32 = 0.5;

/// `Retry-After` while no host in the homes of a name is ready.
const NO_HOST_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An entry host that serves callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Whether it is in the caller's failure domain.
    pub is_same_domain: bool,
    /// Region that it is in, if that is known.
    pub region: Option<Region>,
    /// Its capacity.
    pub capacity: Capacity,
}

/// Answers a caller's request for entry hosts.
#[must_use]
pub fn answer(gateway: &Gateway, target: &[u8]) -> Reply {
    let domain = query_parameter(target, "zone").unwrap_or_default();
    let hash = usize::from(domain.bytes().fold(0, u8::wrapping_add));
    let mut hosts = ready_hosts(gateway, domain);
    let table = gateway.table();
    let name = query_parameter(target, "name").unwrap_or_default();
    let homes = table.and_then(|it| it.homes(name));
    restrict(&mut hosts, query_parameter(target, "region"), homes.as_ref());
    let addresses = choose(hosts, hash);
    if addresses.is_empty() && homes.is_some() {
        let message = "no entry host is ready in the regions of this name".to_owned();
        return Reply::refuse(Refusal::not_run("no-host", message, NO_HOST_RETRY_AFTER), None);
    }
    if addresses.is_empty() {
        return Reply::refuse(Refusal::not_ready(), None);
    }
    let keep = gateway.settings().directory_keep;
    Reply::text(200, "application/json", (gateway.protocol.directory)(&addresses, keep))
}

/// Removes the hosts outside `homes`, also if none remains, and of the others those outside the
/// caller's region, if any is inside.
pub fn restrict(hosts: &mut Vec<Host>, region: Option<&str>, homes: Option<&BTreeSet<Region>>) {
    if let Some(homes) = homes {
        hosts.retain(|it| it.region.as_ref().is_some_and(|it| homes.contains(it)));
    }
    let is_near = |it: &Host| region.is_some() && it.region.as_deref() == region;
    if hosts.iter().any(is_near) {
        hosts.retain(is_near);
    }
}

/// Selects the hosts for a caller: those in its failure domain with good links; some of other
/// domains if these are too few; and hosts of its domain with slow links if the processors of the
/// selected ones are too busy. A slow link in the same domain costs a caller more than the way to
/// another domain.
#[must_use]
pub fn choose(hosts: Vec<Host>, hash: usize) -> Vec<SocketAddr> {
    let best_mbps = hosts.iter().map(|it| it.capacity.link_mbps).fold(0.0, f32::max);
    let has_good_link = |it: &Host| it.capacity.link_mbps >= best_mbps * MIN_LINK_SHARE;
    let (local, remote): (Vec<_>, Vec<_>) = hosts.into_iter().partition(|it| it.is_same_domain);
    let used_cores: f32 = local.iter().map(|it| it.capacity.used_cores).sum();
    let (local, local_slow): (Vec<_>, Vec<_>) = local.into_iter().partition(has_good_link);
    let (remote, remote_slow): (Vec<_>, Vec<_>) = remote.into_iter().partition(has_good_link);
    // Spreads the callers of domains with few hosts over the others, not all onto the first.
    let mut remote = sorted_and_rotated(remote, hash);
    let mut selected = sorted_by_link(local);
    // Without a good host in their domain, callers spread over all good ones elsewhere.
    let wanted = if selected.is_empty() { remote.len() } else { MIN_ADDRESSES };
    let missing = wanted.saturating_sub(selected.len()).min(remote.len());
    selected.extend(remote.drain(..missing));
    for it in sorted_by_link(local_slow) {
        let cores: f32 = selected.iter().map(|it| it.capacity.cpu_cores).sum();
        if selected.len() < MIN_ADDRESSES || cores * MAX_CPU_SHARE < used_cores {
            selected.push(it);
        }
    }
    let missing = MIN_ADDRESSES.saturating_sub(selected.len());
    selected.extend(sorted_and_rotated(remote_slow, hash).into_iter().take(missing));
    selected.truncate(MAX_ADDRESSES);
    selected.into_iter().map(|it| it.address).collect()
}

/// Hosts by descending link bandwidth.
fn sorted_by_link(mut hosts: Vec<Host>) -> Vec<Host> {
    hosts.sort_by(|a, b| {
        let link = b.capacity.link_mbps.total_cmp(&a.capacity.link_mbps);
        link.then(a.address.cmp(&b.address))
    });
    hosts
}

/// Hosts by descending link bandwidth, rotated by a hash of the caller's domain.
fn sorted_and_rotated(hosts: Vec<Host>, hash: usize) -> Vec<Host> {
    let mut res = sorted_by_link(hosts);
    let start = hash.checked_rem(res.len()).unwrap_or_default();
    res.rotate_left(start);
    res
}

fn ready_hosts(gateway: &Gateway, domain: &str) -> Vec<Host> {
    let settings = gateway.settings();
    let peers = gateway.peers.borrow();
    let mut res: Vec<_> = peers
        .live_peers(gateway.now())
        .filter(|(_, it)| it.heartbeat.phase == Phase::Ready)
        .map(|(_, it)| Host {
            address: it.heartbeat.caller_address,
            is_same_domain: &*it.heartbeat.domain == domain,
            region: settings.region_of(&it.heartbeat.domain).cloned(),
            capacity: it.heartbeat.capacity,
        })
        .collect();
    if gateway.phase.get() == Phase::Ready {
        let is_same_domain = &*settings.domain == domain;
        let region = settings.region_of(&settings.domain).cloned();
        let capacity = gateway.capacity();
        res.push(Host { address: settings.caller_address, is_same_domain, region, capacity });
    }
    res
}

/// Value of a parameter in the query of a target.
fn query_parameter<'a>(target: &'a [u8], name: &str) -> Option<&'a str> {
    let (_, query) = std::str::from_utf8(target).ok()?.split_once('?')?;
    query
        .split('&')
        .filter_map(|it| it.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|it| it.1)
}

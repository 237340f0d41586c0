//! Known peers and their liveness.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{Heartbeat, Phase};
use crate::load::HostKey;

/// Heartbeat intervals without a datagram after which a peer is no longer live.
const LIVE_INTERVALS: f64 = 4.3;
/// Time without a datagram after which a peer is removed. Longer than network partitions usually
/// last, so that daemons find each other again without the store.
const CONTACT_LIFETIME: Duration = Duration::from_mins(1);
/// Interval of heartbeats to a live peer, for up to [`SMALL_FLEET`] peers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval of heartbeats to an address that does not answer.
const UNREACHABLE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of peers up to which heartbeats are sent at the shortest interval. Above it the interval
/// grows with the number of peers, so that the heartbeats of a daemon take the same processor time
/// in any fleet.
const SMALL_FLEET: u32 = 12;
/// Longest heartbeat interval: callers must not get the address of a dead peer for much longer than
/// they cache addresses.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);
/// Number of peers above which inactive daemons send heartbeats less often: their state is not
/// urgent, and the number of heartbeats grows with the square of the fleet.
const LARGE_FLEET: u32 = 48;
/// Longest heartbeat interval of an inactive daemon, as a multiple of that of an active one.
const MAX_IDLE_FACTOR: f64 = 4.0;
/// Number of addresses of other peers in each heartbeat.
const GOSSIP_ADDRESSES: usize = 3;
/// Presence of a daemon that is in contact with no other: it can't know how many there are.
const LONE_PRESENCE: f64 = 0.25;

/// A peer that has sent a heartbeat.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// When the last heartbeat was received.
    pub heartbeat_at: Instant,
    /// When the last datagram was received from it.
    pub last_received: Instant,
    /// When a heartbeat last reported it as active.
    pub last_active: Option<Instant>,
}

/// Peers that may be spending from the budgets shared by all daemons.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sharers {
    /// All of them.
    pub all: u32,
    /// Those that are active or were shortly before.
    pub active: u32,
}

/// A change caused by a heartbeat or by the passing of time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A peer sent its first heartbeat, or the first after it was lost.
    Joined(String),
    /// A peer was silent for too long or has restarted; its previous state is invalid.
    Lost(String, HostKey),
    /// A peer has begun to leave.
    Leaving(String),
    /// A peer has become active or inactive.
    ActivityChanged,
}

#[derive(Clone, Debug)]
struct Contact {
    added: Instant,
    sent: Option<Instant>,
}

/// The known peers.
#[derive(Debug)]
pub struct Table {
    own_address: SocketAddr,
    own_link: f32,
    contacts: BTreeMap<SocketAddr, Contact>,
    peers: BTreeMap<SocketAddr, Peer>,
    reported_lost: BTreeSet<SocketAddr>,
    gossip_offset: usize,
}

impl Table {
    /// Creates the table of a daemon whose peer address is `own_address`, on a host with a link of
    /// `own_link` Mbit/s.
    #[must_use]
    pub fn new(own_address: SocketAddr, own_link: f32) -> Self {
        Self {
            own_address,
            own_link,
            contacts: BTreeMap::new(),
            peers: BTreeMap::new(),
            reported_lost: BTreeSet::new(),
            gossip_offset: 0,
        }
    }

    /// Adds an address where a peer may run.
    pub fn add(&mut self, now: Instant, address: SocketAddr) {
        if address != self.own_address {
            self.contacts.entry(address).or_insert(Contact { added: now, sent: None });
        }
    }

    /// Records a heartbeat received from `address`.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        address: SocketAddr,
        heartbeat: Heartbeat,
    ) -> Vec<Event> {
        if address == self.own_address {
            return Vec::new();
        }
        self.add(now, address);
        for it in &heartbeat.peers {
            self.add(now, *it);
        }
        let mut res = Vec::new();
        let was_reported_lost = self.reported_lost.remove(&address);
        let host = heartbeat.host.clone();
        let old_active = self.peers.get(&address).and_then(|it| it.last_active);
        let last_active = if heartbeat.is_active { Some(now) } else { old_active };
        let old = self.peers.insert(
            address,
            Peer { heartbeat, heartbeat_at: now, last_received: now, last_active },
        );
        let heartbeat = &self.peers[&address].heartbeat;
        match old {
            None => res.push(Event::Joined(host)),
            Some(old) if old.heartbeat.key != heartbeat.key => {
                res.push(Event::Lost(old.heartbeat.host, old.heartbeat.key));
                res.push(Event::Joined(host));
            }
            Some(old)
                if old.heartbeat.phase != Phase::Leaving && heartbeat.phase == Phase::Leaving =>
            {
                res.push(Event::Leaving(host));
            }
            Some(old) if old.heartbeat.is_active != heartbeat.is_active => {
                res.push(Event::ActivityChanged);
            }
            Some(_) if was_reported_lost => res.push(Event::Joined(host)),
            Some(_) => {}
        }
        res
    }

    /// Records a datagram other than a heartbeat, received from `address`.
    pub fn record_datagram(&mut self, now: Instant, address: SocketAddr) {
        if let Some(it) = self.peers.get_mut(&address) {
            it.last_received = now;
        }
    }

    /// Reports peers that have fallen silent since the last call, and removes addresses that have
    /// not answered for long.
    pub fn tick(&mut self, now: Instant) -> Vec<Event> {
        let mut res = Vec::new();
        let silent = self.peers.iter().filter(|(_, it)| !self.is_live(it, now));
        let silent: Vec<_> =
            silent.map(|(at, it)| (*at, it.heartbeat.host.clone(), it.heartbeat.key)).collect();
        for (address, host, key) in silent {
            if self.reported_lost.insert(address) {
                res.push(Event::Lost(host, key));
            }
        }
        let peers = &self.peers;
        self.contacts.retain(|address, it| {
            let last = peers.get(address).map_or(it.added, |it| it.last_received);
            now.duration_since(last) < CONTACT_LIFETIME
        });
        let contacts = &self.contacts;
        self.peers.retain(|address, _| contacts.contains_key(address));
        res
    }

    /// Addresses that are due a heartbeat, and whether it should request a reply. The heartbeats
    /// returned count as sent. `is_active` says whether this daemon is active.
    pub fn due_heartbeats(&mut self, now: Instant, is_active: bool) -> Vec<(SocketAddr, bool)> {
        let live: BTreeSet<_> = self.live_addresses(now).collect();
        let live_interval = heartbeat_interval(self.peers.len(), is_active);
        let mut res = Vec::new();
        for (address, contact) in &mut self.contacts {
            let is_live = live.contains(address);
            let interval = if is_live { live_interval } else { UNREACHABLE_INTERVAL };
            if contact.sent.is_none_or(|it| now.duration_since(it) >= interval) {
                contact.sent = Some(now);
                res.push((*address, !is_live));
            }
        }
        res
    }

    /// Addresses of all live peers.
    pub fn live_addresses(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        self.peers.iter().filter(move |(_, it)| self.is_live(it, now)).map(|(address, _)| *address)
    }

    /// All live peers with their addresses.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        self.peers.iter().filter(move |(_, it)| self.is_live(it, now)).map(|(at, it)| (*at, it))
    }

    /// Whether a datagram was received recently. Peers send heartbeats as often as this daemon,
    /// since they know as many peers.
    fn is_live(&self, it: &Peer, now: Instant) -> bool {
        let limit =
            heartbeat_interval(self.peers.len(), it.heartbeat.is_active).mul_f64(LIVE_INTERVALS);
        now.saturating_duration_since(it.last_received) < limit
    }

    /// Live peers whose `progress` is beyond `own`, the furthest first, of equal ones those in
    /// `domain` first, and otherwise in random order: what others have not read yet may contain a removal.
    #[must_use]
    pub fn further<T: Copy + Ord>(
        &self,
        now: Instant,
        progress: impl Fn(&Heartbeat) -> T,
        own: T,
        domain: &str,
    ) -> Vec<SocketAddr> {
        let order = |(address, it): (SocketAddr, &Peer)| {
            ((Reverse(progress(&it.heartbeat)), &*it.heartbeat.domain != domain), address)
        };
        let live = self.live_peers(now).map(order);
        let mut res: Vec<_> = live.filter(|((Reverse(it), _), _)| *it > own).collect();
        fastrand::shuffle(&mut res);
        res.sort_by_key(|(order, _)| *order);
        res.into_iter().map(|(_, address)| address).collect()
    }

    /// Up to `count` live peers that have read the configuration from the store, those that did so last
    /// first.
    #[must_use]
    pub fn last_readers(&self, now: Instant, count: usize) -> Vec<SocketAddr> {
        let read_at = |it: &Peer| {
            let age = Duration::from_millis(it.heartbeat.config_checked_ms?.into());
            it.heartbeat_at.checked_sub(age)
        };
        let live = self.live_peers(now);
        let mut res: Vec<_> =
            live.filter_map(|(address, it)| Some((Reverse(read_at(it)?), address))).collect();
        res.sort_unstable();
        res.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Number of live peers.
    #[must_use]
    pub fn live_count(&self, now: Instant) -> u32 {
        u32::try_from(self.live_addresses(now).count()).unwrap_or(u32::MAX)
    }

    /// Peers that share the budgets of each `window`. A silent peer may only be partitioned from
    /// this host and still spend, so it counts as long as it is known. A peer that left as planned
    /// spends nothing after the window.
    #[must_use]
    pub fn sharers(&self, now: Instant, window: Duration) -> Sharers {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < window;
        let mut res = Sharers::default();
        for it in self.peers.values() {
            if it.heartbeat.phase == Phase::Leaving && !is_recent(it.last_received) {
                continue;
            }
            res.all += 1;
            res.active +=
                u32::from(it.heartbeat.is_active || it.last_active.is_some_and(is_recent));
        }
        res
    }

    /// Part of the known daemons that this one is in contact with, itself included. An address that
    /// does not answer counts as long as it is known, since it may only be cut off from here.
    #[must_use]
    pub fn presence(&self, now: Instant) -> f64 {
        let has_left = |address: &SocketAddr| {
            self.peers.get(address).is_some_and(|it| it.heartbeat.phase == Phase::Leaving)
        };
        let live = f64::from(self.live_count(now));
        let known = self.contacts.keys().filter(|it| !has_left(it)).count() as f64;
        let presence = ((live + 1.0) / (known + 1.0)).min(1.0);
        if live > 0.0 { presence } else { presence.min(LONE_PRESENCE) }
    }

    /// Position of this daemon among the live ones, in an order that all daemons share. Hosts with
    /// the best links come first, since the first daemons read the store and relay to the others.
    #[must_use]
    pub fn position(&self, now: Instant) -> u32 {
        let precedes = |address: SocketAddr, it: &Peer| {
            let order = it.heartbeat.capacity.link_mbps.total_cmp(&self.own_link).reverse();
            order.then(address.cmp(&self.own_address)).is_lt()
                && it.heartbeat.phase != Phase::Leaving
        };
        let before = self.live_peers(now).filter(|(address, it)| precedes(*address, it));
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Some of the live peers, different ones at each call.
    pub fn gossip(&mut self, now: Instant) -> Vec<SocketAddr> {
        let live: Vec<_> = self.live_addresses(now).collect();
        self.gossip_offset += GOSSIP_ADDRESSES;
        let start = if live.is_empty() { 0 } else { self.gossip_offset % live.len() };
        live.iter().cycle().skip(start).take(GOSSIP_ADDRESSES.min(live.len())).copied().collect()
    }
}

/// Heartbeat interval of a daemon that knows `known` peers.
fn heartbeat_interval(known: usize, is_active: bool) -> Duration {
    let known = u32::try_from(known).unwrap_or(u32::MAX);
    let interval = HEARTBEAT_INTERVAL.saturating_mul(known.max(SMALL_FLEET)) / SMALL_FLEET;
    let interval = interval.min(MAX_HEARTBEAT_INTERVAL);
    if is_active {
        return interval;
    }
    let factor = f64::from(known) / f64::from(LARGE_FLEET);
    interval.mul_f64(factor.clamp(1.0, MAX_IDLE_FACTOR))
}

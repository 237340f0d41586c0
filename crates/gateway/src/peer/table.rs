//! Peers that are known, and which of them are alive.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::{Beat, Phase};
use crate::load::HostKey;

/// Beats without which a peer is taken to serve no more.
const LIVE_BEATS: f64 = 4.3;
/// Silence after which nothing more is sent to a peer. Longer than cuts usually last, so that
/// daemons find each other again by themselves.
const KEEP_TIME: Duration = Duration::from_mins(1);
/// Time between two beats to a live peer, for up to [`SMALL_FLEET`] peers.
const BEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two beats to an address that doesn't answer.
const SILENT_INTERVAL: Duration = Duration::from_secs(1);
/// Peers up to which beats go out at the shortest interval; beyond, it grows with their number, so
/// that the beats of one daemon take the same processor time in any fleet.
const SMALL_FLEET: u32 = 12;
/// Longest interval of beats: callers must not be told of a dead peer for much longer than they keep
/// what they are told.
const MAX_BEAT_INTERVAL: Duration = Duration::from_millis(800);
/// Peers above which daemons that callers don't use send their beats less often: nobody waits for
/// their news, and beats grow with the square of the fleet.
const LARGE_FLEET: u32 = 48;
/// Longest interval of beats of a daemon that callers don't use, in intervals of the others.
const MAX_IDLE_FACTOR: f64 = 4.0;
/// Addresses of other peers told in each beat.
const GOSSIP: usize = 3;

/// A peer that has been heard.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last beat.
    pub beat: Beat,
    /// When that beat came.
    pub beat_at: Instant,
    /// When anything was last heard of it.
    pub heard: Instant,
    /// When it last said that callers use it.
    pub active_at: Option<Instant>,
}

/// Peers that may be spending from the budgets that all daemons share.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sharers {
    /// All of them.
    pub all: u32,
    /// Those that callers use or used shortly before.
    pub active: u32,
}

/// What a beat or the passing of time has changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A peer was heard for the first time.
    Joined(String),
    /// A peer was not heard for some time or has started anew; what it said no longer holds.
    Lost(String, HostKey),
    /// A peer has begun to leave.
    Leaving(String),
    /// Callers have begun to use a peer, or no longer do.
    Activity,
}

#[derive(Clone, Debug)]
struct Contact {
    added: Instant,
    sent: Option<Instant>,
}

/// Peers that are known.
#[derive(Debug)]
pub struct Table {
    own: SocketAddr,
    own_link: f32,
    contacts: BTreeMap<SocketAddr, Contact>,
    peers: BTreeMap<SocketAddr, Peer>,
    lost: BTreeSet<SocketAddr>,
    gossip: usize,
}

impl Table {
    /// A table of the daemon that peers reach at `own`, on a host with a link of `own_link` Mbit/s.
    #[must_use]
    pub fn new(own: SocketAddr, own_link: f32) -> Self {
        Self {
            own,
            own_link,
            contacts: BTreeMap::new(),
            peers: BTreeMap::new(),
            lost: BTreeSet::new(),
            gossip: 0,
        }
    }

    /// Adds an address at which a peer may be.
    pub fn add(&mut self, now: Instant, address: SocketAddr) {
        if address != self.own {
            self.contacts.entry(address).or_insert(Contact { added: now, sent: None });
        }
    }

    /// Takes in a beat that came from `address`.
    pub fn hear(&mut self, now: Instant, address: SocketAddr, beat: Beat) -> Vec<Event> {
        if address == self.own {
            return Vec::new();
        }
        self.add(now, address);
        for it in &beat.peers {
            self.add(now, *it);
        }
        let mut res = Vec::new();
        let was_lost = self.lost.remove(&address);
        let host = beat.host.clone();
        let old_active = self.peers.get(&address).and_then(|it| it.active_at);
        let active_at = if beat.is_active { Some(now) } else { old_active };
        let old = self.peers.insert(address, Peer { beat, beat_at: now, heard: now, active_at });
        let beat = &self.peers[&address].beat;
        match old {
            None => res.push(Event::Joined(host)),
            Some(old) if old.beat.key != beat.key => {
                res.push(Event::Lost(old.beat.host, old.beat.key));
                res.push(Event::Joined(host));
            }
            Some(old) if old.beat.phase != Phase::Leaving && beat.phase == Phase::Leaving => {
                res.push(Event::Leaving(host));
            }
            Some(old) if old.beat.is_active != beat.is_active => res.push(Event::Activity),
            Some(_) if was_lost => res.push(Event::Joined(host)),
            Some(_) => {}
        }
        res
    }

    /// Takes in that something else than a beat came from `address`.
    pub fn touch(&mut self, now: Instant, address: SocketAddr) {
        if let Some(it) = self.peers.get_mut(&address) {
            it.heard = now;
        }
    }

    /// Peers that have fallen silent since the last call.
    pub fn tick(&mut self, now: Instant) -> Vec<Event> {
        let mut res = Vec::new();
        let silent = self.peers.iter().filter(|(_, it)| !self.is_live(it, now));
        let silent: Vec<_> =
            silent.map(|(at, it)| (*at, it.beat.host.clone(), it.beat.key)).collect();
        for (address, host, key) in silent {
            if self.lost.insert(address) {
                res.push(Event::Lost(host, key));
            }
        }
        let peers = &self.peers;
        self.contacts.retain(|address, it| {
            let last = peers.get(address).map_or(it.added, |it| it.heard);
            now.duration_since(last) < KEEP_TIME
        });
        let contacts = &self.contacts;
        self.peers.retain(|address, _| contacts.contains_key(address));
        res
    }

    /// Addresses to which a beat is due, and whether it asks for a beat in return; each given counts
    /// as sent. `is_active` tells whether callers use this daemon.
    pub fn due(&mut self, now: Instant, is_active: bool) -> Vec<(SocketAddr, bool)> {
        let live: BTreeSet<_> = self.live_addresses(now).collect();
        let usual = beat_interval(self.peers.len(), is_active);
        let mut res = Vec::new();
        for (address, contact) in &mut self.contacts {
            let is_live = live.contains(address);
            let interval = if is_live { usual } else { SILENT_INTERVAL };
            if contact.sent.is_none_or(|it| now.duration_since(it) >= interval) {
                contact.sent = Some(now);
                res.push((*address, !is_live));
            }
        }
        res
    }

    /// Addresses of every peer that is alive.
    pub fn live_addresses(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        self.peers.iter().filter(move |(_, it)| self.is_live(it, now)).map(|(address, _)| *address)
    }

    /// Peers that are alive, with their addresses.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        self.peers.iter().filter(move |(_, it)| self.is_live(it, now)).map(|(at, it)| (*at, it))
    }

    /// Whether a peer was heard lately. Peers send as often as this daemon does: they know as many.
    fn is_live(&self, it: &Peer, now: Instant) -> bool {
        let limit = beat_interval(self.peers.len(), it.beat.is_active).mul_f64(LIVE_BEATS);
        now.saturating_duration_since(it.heard) < limit
    }

    /// Number of peers that are alive.
    #[must_use]
    pub fn live(&self, now: Instant) -> u32 {
        u32::try_from(self.live_addresses(now).count()).unwrap_or(u32::MAX)
    }

    /// Peers that share the budgets of each `window`. A peer that has fallen silent may only be cut off
    /// from here and go on, so it counts as long as it is known; one that left as planned spends
    /// nothing after the window.
    #[must_use]
    pub fn sharers(&self, now: Instant, window: Duration) -> Sharers {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < window;
        let mut res = Sharers::default();
        for it in self.peers.values() {
            if it.beat.phase == Phase::Leaving && !is_recent(it.heard) {
                continue;
            }
            res.all += 1;
            res.active += u32::from(it.beat.is_active || it.active_at.is_some_and(is_recent));
        }
        res
    }

    /// Place of the daemon `own` among those alive, in an order that all of them share: the hosts with
    /// the best links come first, since the first ones read the store and tell the others.
    #[must_use]
    pub fn place(&self, now: Instant) -> u32 {
        let is_before = |address: SocketAddr, it: &Peer| {
            let order = it.beat.capacity.link_mbps.total_cmp(&self.own_link).reverse();
            order.then(address.cmp(&self.own)).is_lt() && it.beat.phase != Phase::Leaving
        };
        let before = self.live_peers(now).filter(|(address, it)| is_before(*address, it));
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Some of the known peers, others at each call.
    pub fn gossip(&mut self, now: Instant) -> Vec<SocketAddr> {
        let live: Vec<_> = self.live_addresses(now).collect();
        self.gossip += GOSSIP;
        let start = if live.is_empty() { 0 } else { self.gossip % live.len() };
        live.iter().cycle().skip(start).take(GOSSIP.min(live.len())).copied().collect()
    }
}

/// Time between two beats of a daemon that knows so many peers.
fn beat_interval(known: usize, is_active: bool) -> Duration {
    let known = u32::try_from(known).unwrap_or(u32::MAX);
    let interval = BEAT_INTERVAL.saturating_mul(known.max(SMALL_FLEET)) / SMALL_FLEET;
    let interval = interval.min(MAX_BEAT_INTERVAL);
    if is_active {
        return interval;
    }
    let factor = f64::from(known) / f64::from(LARGE_FLEET);
    interval.mul_f64(factor.clamp(1.0, MAX_IDLE_FACTOR))
}

//! The other entry hosts, directions to callers, and backend servers that leave.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use balance::Digest;
use order::Incarnation;

use super::{Host, upstream};
use crate::matrix::{
    guard::Guard,
    message::{Heartbeat, Message},
    net::{BACKENDS, HOSTS, Net},
};

/// Time without a heartbeat after which a peer is no longer named to callers.
const SILENCE: Duration = Duration::from_millis(1_000);

/// What was last heard of another entry host.
pub(super) struct Peer {
    pub(super) at: Instant,
    pub(super) incarnations: BTreeSet<Incarnation>,
    /// Incarnations that the host had in earlier lives.
    pub(super) ended: BTreeSet<Incarnation>,
    pub(super) is_leaving: bool,
}

impl Host {
    pub(super) fn send_heartbeats(&self, net: &mut Net) {
        let heartbeat = Heartbeat {
            from: self.number,
            incarnations: self.engine.incarnations(),
            is_leaving: self.leaving.is_some() || self.version.is_none(),
            digest: self.balancer.digest(net.now),
        };
        for other in (0..HOSTS).filter(|it| *it != self.number) {
            let message = Message::Heartbeat(heartbeat.clone());
            net.send_peer(self.number, net.host(other), message);
        }
    }

    pub(super) fn heartbeat(&mut self, it: Heartbeat, now: Instant) {
        let Heartbeat { from, incarnations, is_leaving, digest } = it;
        self.take_digest(from, digest, now);
        let mut ended = BTreeSet::new();
        if let Some(old) = self.peers.remove(&from) {
            ended.extend(old.ended);
            ended.extend(old.incarnations.difference(&incarnations));
        }
        self.peers.insert(from, Peer { at: now, incarnations, ended, is_leaving });
    }

    /// Whether an incarnation is known to have ended, not just unreachable.
    pub(super) fn has_ended(&self, incarnation: Incarnation, now: Instant) -> bool {
        let is_fresh = |it: &super::Peer| now.saturating_duration_since(it.at) <= SILENCE;
        self.peers.values().any(|it| is_fresh(it) && it.ended.contains(&incarnation))
    }

    /// Entry hosts that callers should use.
    pub(super) fn directions(&self, now: Instant) -> Vec<usize> {
        let is_usable =
            |it: &Peer| !it.is_leaving && now.saturating_duration_since(it.at) <= SILENCE;
        let others = self.peers.iter().filter(|(_, it)| is_usable(it)).map(|(it, _)| *it);
        let own = (self.leaving.is_none() && self.version.is_some()).then_some(self.number);
        own.into_iter().chain(others).collect()
    }

    /// Tells the balancer which upstreams leave, by the host list or by their own word.
    pub(super) fn mark_leaving_upstreams(&mut self, net: &Net) {
        if !net.guards(Guard::LeavingUpstream) {
            return;
        }
        for it in 0..BACKENDS {
            let is_leaving = net.is_listed_leaving(it) || self.shedding.contains(&it);
            self.balancer.set_leaving(&upstream(it), is_leaving);
        }
    }

    fn take_digest(&mut self, from: usize, digest: Digest, now: Instant) {
        self.balancer.peer_digest(now, format!("h{from}").into(), digest);
    }
}

//! Heartbeats with other entry hosts, directions for callers, and leaving backend servers.

use std::time::Duration;

use balance::Digest;
use member::{Address, Heartbeat, Identity, Issuer, Listing, Phase};
use order::Incarnation;

use super::{Host, domain, upstream};
use crate::matrix::{
    guard::Guard,
    message::{Endpoint, Message},
    network::{BACKENDS, Network},
};

/// Time-out of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// Port of the first entry host. The others use the ports after it.
const FIRST_PORT: u16 = 7_000;

/// Where a request for the sessions of an incarnation is forwarded.
pub(super) enum Destination {
    Host(usize),
    /// The incarnation has ended: its host has a later one.
    Ended,
    Unreachable,
}

impl Host {
    /// Identity of a host with an incarnation.
    pub(super) fn identity(number: usize, incarnation: Incarnation) -> Identity {
        let address = address(number);
        Identity { address, entry: address, admin: address, domain: domain(number), incarnation }
    }

    /// Sends the heartbeats that are due.
    pub(super) fn send_heartbeats(&mut self, due: Vec<Heartbeat>, net: &mut Network) {
        for Heartbeat { to, exchange } in due {
            let message = Message::Heartbeat {
                from: self.endpoint(),
                exchange: Box::new(exchange),
                digest: self.balancer.digest(),
                leaving: self.leaving_upstreams.clone(),
            };
            net.send_peer(self.number, net.host(number(to)), message);
            self.heartbeats += 1;
            self.unanswered.insert(to, self.heartbeats);
            let timeout = Message::HeartbeatTimeout { to, serial: self.heartbeats };
            net.send(self.endpoint(), HEARTBEAT_TIMEOUT, timeout);
        }
    }

    pub(super) fn heartbeat(&mut self, message: Message, net: &mut Network) {
        let Message::Heartbeat { from, exchange, digest, leaving } = message else { return };
        let Endpoint::Host(sender, _) = from else { return };
        self.apply_digest(sender, digest, net);
        self.leaving_upstreams.extend(leaving);
        if let Ok(answer) = self.table.receive(&exchange, net.now) {
            let answer = Message::HeartbeatAnswer {
                from: self.endpoint(),
                exchange: Box::new(answer),
                leaving: self.leaving_upstreams.clone(),
            };
            net.send_peer(self.number, from, answer);
        }
    }

    pub(super) fn heartbeat_answer(&mut self, message: Message, net: &mut Network) {
        let Message::HeartbeatAnswer { from: Endpoint::Host(sender, _), exchange, leaving } =
            message
        else {
            return;
        };
        self.unanswered.remove(&address(sender));
        self.leaving_upstreams.extend(leaving);
        self.mark_leaving_upstreams(net);
        let _refused = self.table.answered(address(sender), *exchange, net.now);
    }

    pub(super) fn heartbeat_timeout(&mut self, to: Address, serial: u64) {
        if self.unanswered.get(&to) == Some(&serial) {
            self.unanswered.remove(&to);
            self.table.unanswered(to);
        }
    }

    /// Where a request for the sessions of an incarnation is forwarded.
    pub(super) fn destination(&self, incarnation: Incarnation, net: &Network) -> Destination {
        match self.table.issuer(incarnation, net.now) {
            Issuer::At(it) | Issuer::Unresponsive(it) => Destination::Host(number(it)),
            Issuer::Replaced(_) => Destination::Ended,
            Issuer::Own | Issuer::Unknown => Destination::Unreachable,
        }
    }

    /// Entry hosts that a caller should use.
    pub(super) fn directions(&self, caller: usize, net: &Network) -> Vec<usize> {
        let found = self.table.directions(&caller.to_string(), None, net.now);
        found.iter().map(|it| number(it.address)).collect()
    }

    /// Announces the host's phase to its peers.
    pub(super) fn announce_phase(&mut self, phase: Phase, net: &mut Network) {
        let due = self.table.set_phase(phase, net.now);
        self.send_heartbeats(due, net);
    }

    /// Marks the upstreams in the balancer that are leaving by the host list or by their own
    /// reports.
    pub(super) fn mark_leaving_upstreams(&mut self, net: &Network) {
        if !net.has_guard(Guard::LeavingUpstream) {
            return;
        }
        for it in 0..BACKENDS {
            let is_leaving = net.is_listed_leaving(it) || self.leaving_upstreams.contains(&it);
            self.balancer.set_leaving(&upstream(it), is_leaving);
        }
    }

    /// Updates the member table from the platform's host list.
    pub(super) fn read_host_list(&mut self, net: &Network) {
        let listed = net.listed_hosts();
        let list: Vec<Listing> = listed
            .into_iter()
            .map(|(host, leaving)| Listing { address: address(host), leaving })
            .collect();
        self.table.set_host_list(&list, net.now);
    }

    fn apply_digest(&mut self, from: usize, digest: Digest, net: &Network) {
        self.balancer.receive_digest(net.now, format!("h{from}").into(), digest);
        self.mark_leaving_upstreams(net);
    }
}

/// Address of a host for its peers.
pub(super) fn address(number: usize) -> Address {
    let offset = u16::try_from(number).unwrap_or_default();
    Address::from(([127, 0, 0, 1], FIRST_PORT + offset))
}

fn number(address: Address) -> usize {
    usize::from(address.port().saturating_sub(FIRST_PORT))
}

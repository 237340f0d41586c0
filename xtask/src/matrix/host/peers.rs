//! The other entry hosts, directions to callers, and backend servers that leave.

use std::time::Duration;

use balance::Digest;
use member::{Address, Heartbeat, Identity, Issuer, Listing, Phase};
use order::Incarnation;

use super::{Host, domain, upstream};
use crate::matrix::{
    guard::Guard,
    message::{Message, Node},
    net::{BACKENDS, Net},
};

/// Time after which a heartbeat counts as unanswered.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// Port of the first entry host; the others follow.
const FIRST_PORT: u16 = 7_000;

/// Where a request for an incarnation should go.
pub(super) enum Holder {
    Host(usize),
    /// The incarnation's host answers with a later one.
    Ended,
    Unreachable,
}

impl Host {
    /// Who a host is in one of its lives.
    pub(super) fn identity(number: usize, incarnation: Incarnation) -> Identity {
        let address = address(number);
        Identity { address, entry: address, admin: address, domain: domain(number), incarnation }
    }

    /// Sends the heartbeats that are due.
    pub(super) fn send_heartbeats(&mut self, due: Vec<Heartbeat>, net: &mut Net) {
        for Heartbeat { to, exchange } in due {
            let message = Message::Heartbeat {
                from: self.node(),
                exchange: Box::new(exchange),
                digest: self.balancer.digest(),
                leaving: self.shedding.clone(),
            };
            net.send_peer(self.number, net.host(number(to)), message);
            self.heartbeats += 1;
            self.unanswered.insert(to, self.heartbeats);
            let timeout = Message::HeartbeatTimeout { to, serial: self.heartbeats };
            net.send(self.node(), HEARTBEAT_TIMEOUT, timeout);
        }
    }

    pub(super) fn heartbeat(&mut self, message: Message, net: &mut Net) {
        let Message::Heartbeat { from, exchange, digest, leaving } = message else { return };
        let Node::Host(sender, _) = from else { return };
        self.take_digest(sender, digest, net);
        self.shedding.extend(leaving);
        if let Ok(answer) = self.table.receive(&exchange, net.now) {
            let answer = Message::HeartbeatAnswer {
                from: self.node(),
                exchange: Box::new(answer),
                leaving: self.shedding.clone(),
            };
            net.send_peer(self.number, from, answer);
        }
    }

    pub(super) fn heartbeat_answer(&mut self, message: Message, net: &mut Net) {
        let Message::HeartbeatAnswer { from: Node::Host(sender, _), exchange, leaving } = message
        else {
            return;
        };
        self.unanswered.remove(&address(sender));
        self.shedding.extend(leaving);
        self.mark_leaving_upstreams(net);
        let _refused = self.table.answered(address(sender), *exchange, net.now);
    }

    pub(super) fn heartbeat_timeout(&mut self, to: Address, serial: u64) {
        if self.unanswered.get(&to) == Some(&serial) {
            self.unanswered.remove(&to);
            self.table.unanswered(to);
        }
    }

    /// Where a request for an incarnation should go.
    pub(super) fn holder(&self, incarnation: Incarnation, net: &Net) -> Holder {
        match self.table.issuer(incarnation, net.now) {
            Issuer::At(it) | Issuer::Unresponsive(it) => Holder::Host(number(it)),
            Issuer::Replaced(_) => Holder::Ended,
            Issuer::Own | Issuer::Unknown => Holder::Unreachable,
        }
    }

    /// Entry hosts that callers should use.
    pub(super) fn directions(&self, caller: usize, net: &Net) -> Vec<usize> {
        let found = self.table.directions(&caller.to_string(), None, net.now);
        found.iter().map(|it| number(it.address)).collect()
    }

    /// Tells peers in which phase the host is.
    pub(super) fn tell_phase(&mut self, phase: Phase, net: &mut Net) {
        let due = self.table.set_phase(phase, net.now);
        self.send_heartbeats(due, net);
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

    /// Takes over what the platform lists.
    pub(super) fn read_host_list(&mut self, net: &Net) {
        let listed = net.listed_hosts();
        let list: Vec<Listing> = listed
            .into_iter()
            .map(|(host, leaving)| Listing { address: address(host), leaving })
            .collect();
        self.table.set_host_list(&list, net.now);
    }

    fn take_digest(&mut self, from: usize, digest: Digest, net: &Net) {
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

//! The membership table of one daemon.

mod candidates;
mod marks;
mod outgoing;
mod own;
mod replaced;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Instant,
};

use crate::{
    Address, Digest, Domain, Error, Estimate, Exchange, Identity, Incarnation, Issuer, Liveness,
    Load, Member, Phase, Result, Rumor, ServiceIndex, Settings, Version, directions, rumor::tag,
};
use candidates::Candidates;
use marks::Marks;
use outgoing::Outgoing;
use own::Own;
use replaced::Replaced;

/// The membership table of one daemon.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    own: Own,
    members: BTreeMap<Address, Member>,
    candidates: Candidates,
    replaced: Replaced,
    marked_leaving: BTreeSet<Address>,
    leaving_servers: Marks,
    outgoing: Outgoing,
    last_tick: Instant,
}

/// A message to send to a peer. Its answer is passed to [`Table::answered`]; if there is none,
/// [`Table::unanswered`] is called.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Address of the peer.
    pub to: Address,
    /// Message.
    pub exchange: Exchange,
}

/// Entry of the platform's host list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Address of the host's daemon for peers.
    pub address: Address,
    /// Whether the host is marked as leaving.
    pub leaving: bool,
}

impl Table {
    /// Creates a table without members, whose candidates are the addresses in `seeds`.
    #[must_use]
    pub fn new(
        identity: Identity,
        seeds: &[Address],
        settings: Settings,
        rng: fastrand::Rng,
        now: Instant,
    ) -> Self {
        let own_address = identity.address;
        Self {
            settings,
            own: Own::new(identity),
            members: BTreeMap::new(),
            candidates: Candidates::new(own_address, seeds),
            replaced: Replaced::default(),
            marked_leaving: BTreeSet::new(),
            leaving_servers: Marks::default(),
            outgoing: Outgoing::new(rng, now),
            last_tick: now,
        }
    }

    /// Sets this daemon's phase, and returns the heartbeats to send immediately if it is leaving,
    /// so that peers are notified quickly.
    pub fn set_phase(&mut self, phase: Phase, now: Instant) -> Vec<Heartbeat> {
        if !self.own.set_phase(phase) || phase != Phase::Leaving {
            return Vec::new();
        }
        let to = self.outgoing.sample(&self.members);
        self.heartbeats(to, now)
    }

    /// Sets the configuration version that this daemon has in force. A new version drops the loads
    /// set before, because they refer to the services of the old one.
    pub fn set_version(&mut self, version: Version) {
        self.own.set_version(version);
    }

    /// Sets this daemon's loads, one for each service that it serves.
    pub fn set_loads(&mut self, loads: Vec<Load>) {
        self.own.set_loads(loads);
    }

    /// Processes timers and returns the heartbeats that are due; to be called several times a
    /// period.
    pub fn tick(&mut self, now: Instant) -> Vec<Heartbeat> {
        self.compensate_pause(now);
        for it in self.members.values_mut() {
            it.update_suspicion(&self.settings, now);
        }
        let remove_after = self.settings.remove_after;
        self.members.retain(|_, it| it.heartbeat_age(now) <= remove_after);

        if !self.outgoing.is_due(&self.settings, now) {
            return Vec::new();
        }
        let mut to = self.outgoing.targets(&self.members, self.settings.fanout);
        to.extend(self.candidates.due(&self.members, &self.settings, now));
        to.sort();
        to.dedup();
        self.heartbeats(to, now)
    }

    /// Processes a peer's heartbeat and returns the answer to it.
    ///
    /// # Errors
    ///
    /// [`Error`] if the message is refused; none of its content is used then.
    pub fn receive(&mut self, exchange: &Exchange, now: Instant) -> Result<Exchange> {
        exchange.check()?;
        let digest = &exchange.digest;
        let from = digest.identity.address;
        if from == self.own.address() {
            return Err(Error::OwnAddress(from));
        }
        match self.members.get_mut(&from) {
            Some(it) if it.identity.incarnation == digest.identity.incarnation => {
                it.refresh(&rumor_of(digest), now);
                it.set_loads(digest.version, &exchange.loads, now);
            }
            _ => self.candidates.add(from),
        }
        self.apply_rumors(&exchange.rumors, now);
        self.leaving_servers.add_from_peer(&exchange.marks, now);
        Ok(self.message(from, &exchange.rumors, now))
    }

    /// Processes the answer of the daemon at `peer` to a heartbeat.
    ///
    /// # Errors
    ///
    /// [`Error`] if the message is refused; none of its content is used then.
    pub fn answered(&mut self, peer: Address, exchange: Exchange, now: Instant) -> Result<()> {
        exchange.check()?;
        let answered = exchange.digest.identity.address;
        if answered == self.own.address() {
            return Err(Error::OwnAddress(answered));
        }
        if answered != peer {
            return Err(Error::WrongAddress { asked: peer, answered });
        }
        self.candidates.remove(peer);
        let version = exchange.digest.version;
        self.set_member(exchange.digest, now).set_loads(version, &exchange.loads, now);
        self.apply_rumors(&exchange.rumors, now);
        self.leaving_servers.add_from_peer(&exchange.marks, now);
        Ok(())
    }

    /// Records that the daemon at `peer` did not answer a heartbeat in time.
    pub fn unanswered(&mut self, peer: Address) {
        self.candidates.record_miss(peer);
        if let Some(it) = self.members.get_mut(&peer) {
            it.misses = it.misses.saturating_add(1);
        }
    }

    /// Applies the platform's list of entry hosts, which may be out of date.
    ///
    /// A mark as leaving takes effect immediately. It is final for the incarnation that is the
    /// member when the mark first appears; a later one at the same address gets no work until the
    /// mark is removed.
    pub fn set_host_list(&mut self, list: &[Listing], now: Instant) {
        let marked: BTreeSet<_> =
            list.iter().filter(|it| it.leaving).map(|it| it.address).collect();
        for it in marked.difference(&self.marked_leaving) {
            if let Some(member) = self.members.get_mut(it) {
                member.set_leaving(now);
            }
        }
        self.marked_leaving = marked;
        self.candidates.set_listed(list.iter().map(|it| it.address));
    }

    /// Sets which backend servers the platform's list marks as leaving.
    pub fn set_listed_servers(&mut self, marked: BTreeSet<SocketAddr>) {
        self.leaving_servers.set_listed(marked);
    }

    /// Sets which backend servers have reported to this host that they are leaving.
    pub fn set_reported_servers(&mut self, leaving: BTreeSet<SocketAddr>) {
        self.leaving_servers.set_reported(leaving);
    }

    /// Backend servers that are leaving, as known to this host or to a peer.
    pub fn leaving_servers(&mut self, now: Instant) -> BTreeSet<SocketAddr> {
        self.leaving_servers.all(now)
    }

    /// Whether the host list marks this daemon's own host as leaving.
    #[must_use]
    pub fn is_marked_leaving(&self) -> bool {
        self.marked_leaving.contains(&self.own.address())
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Liveness of a member now.
    #[must_use]
    pub fn liveness(&self, member: &Member, now: Instant) -> Liveness {
        member.liveness(&self.settings, now)
    }

    /// Entry hosts that `caller` should use, in order of preference; those of `domain` come first.
    ///
    /// Suspected and damped hosts are left out, unless they are at least as many as the live ones:
    /// then it is probably this daemon that is partitioned off, and they are added after the live
    /// ones.
    #[must_use]
    pub fn directions(&self, caller: &str, domain: Option<&Domain>, now: Instant) -> Vec<Identity> {
        let mut live: Vec<&Identity> = Vec::new();
        let mut unreliable: Vec<&Identity> = Vec::new();
        if self.own.phase() == Phase::Ready && !self.is_marked_leaving() {
            live.push(self.own.identity());
        }
        for it in self.members.values().filter(|it| self.is_available(it)) {
            match self.liveness(it, now) {
                Liveness::Live => live.push(&it.identity),
                Liveness::Damped | Liveness::Suspect => unreliable.push(&it.identity),
            }
        }
        directions::sort(&mut live, caller, domain);
        if live.len() <= unreliable.len() {
            directions::sort(&mut unreliable, caller, domain);
            live.append(&mut unreliable);
        }
        live.into_iter().cloned().collect()
    }

    /// Looks up the daemon with this incarnation.
    #[must_use]
    pub fn issuer(&self, incarnation: Incarnation, now: Instant) -> Issuer {
        if self.own.identity().incarnation == incarnation {
            return Issuer::Own;
        }
        let member = self.members.values().find(|it| it.identity.incarnation == incarnation);
        if let Some(it) = member {
            let address = it.identity.address;
            return match self.liveness(it, now) {
                Liveness::Live | Liveness::Damped => Issuer::At(address),
                Liveness::Suspect => Issuer::Unresponsive(address),
            };
        }
        self.replaced.address(incarnation).map_or(Issuer::Unknown, Issuer::Replaced)
    }

    /// The unsuspected member with the newest configuration version, if that is newer than this
    /// daemon's, to fetch it from.
    #[must_use]
    pub fn newest_peer(&self, now: Instant) -> Option<&Member> {
        self.members
            .values()
            .filter(|it| it.version > self.own.version())
            .filter(|it| self.liveness(it, now) != Liveness::Suspect)
            .max_by_key(|it| it.version)
    }

    /// Mean load of a service per daemon of `domain`, or of all domains if `None`. This daemon's
    /// own load is excluded, as are peers with another configuration version in force.
    #[must_use]
    pub fn estimate(
        &self,
        service: ServiceIndex,
        domain: Option<&Domain>,
        now: Instant,
    ) -> Estimate {
        let loads = self
            .members
            .values()
            .filter(|it| it.version == self.own.version())
            .filter(|it| domain.is_none_or(|wanted| *wanted == it.identity.domain))
            .filter_map(|it| it.load(service, self.settings.load_lifetime, now));
        Estimate::mean(loads)
    }

    fn is_available(&self, member: &Member) -> bool {
        member.phase == Phase::Ready && !self.marked_leaving.contains(&member.identity.address)
    }

    /// Adds the length of a pause of this process to the times of the last heartbeats, because the
    /// process could not receive any during the pause.
    fn compensate_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap < self.settings.period.mul_f64(1.5) {
            return;
        }
        for it in self.members.values_mut() {
            it.last_heartbeat += gap;
        }
    }

    /// Makes the daemon that answered at its address the member with that address.
    fn set_member(&mut self, digest: Digest, now: Instant) -> &mut Member {
        let address = digest.identity.address;
        let rumor = rumor_of(&digest);
        let mut member = Member::new(digest, now);
        if let Some(known) = self.members.remove(&address) {
            if known.identity.incarnation == member.identity.incarnation {
                member = known;
            } else {
                self.replaced.add(known.identity.incarnation, address);
                member.flaps = known.flaps.saturating_add(1);
            }
        }
        member.refresh(&rumor, now);
        self.members.entry(address).or_insert(member)
    }

    fn apply_rumors(&mut self, rumors: &[Rumor], now: Instant) {
        let own = self.own.address();
        for it in rumors.iter().filter(|it| it.address != own) {
            match self.members.get_mut(&it.address) {
                Some(member) if tag(member.identity.incarnation) == it.tag => {
                    member.refresh(it, now);
                }
                _ => self.add_candidate(it),
            }
        }
    }

    /// Adds the address in a rumor of an unknown incarnation to the candidates, if that incarnation
    /// may be running.
    fn add_candidate(&mut self, rumor: &Rumor) {
        let is_fresh = u128::from(rumor.age_ms) < self.settings.suspect_after.as_millis();
        let is_replaced = self.replaced.has_tag(rumor.tag);
        if is_fresh && !is_replaced && rumor.phase != Phase::Leaving {
            self.candidates.add(rumor.address);
        }
    }

    fn heartbeats(&mut self, to: Vec<Address>, now: Instant) -> Vec<Heartbeat> {
        to.into_iter().map(|to| Heartbeat { to, exchange: self.message(to, &[], now) }).collect()
    }

    fn message(&mut self, to: Address, asked: &[Rumor], now: Instant) -> Exchange {
        Exchange {
            digest: self.own.next_digest(),
            loads: self.own.next_loads(self.settings.loads),
            rumors: self.outgoing.rumors(&self.members, to, asked, &self.settings, now),
            marks: self.leaving_servers.first_hand(),
        }
    }
}

fn rumor_of(digest: &Digest) -> Rumor {
    Rumor {
        address: digest.identity.address,
        tag: tag(digest.identity.incarnation),
        phase: digest.phase,
        sequence: digest.sequence,
        version: digest.version,
        age_ms: 0,
    }
}

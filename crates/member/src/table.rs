//! What one daemon knows of all others.

mod candidates;
mod former;
mod marks;
mod outgoing;
mod own;

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
use former::Former;
use marks::Marks;
use outgoing::Outgoing;
use own::Own;

/// What one daemon knows of all others.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    own: Own,
    members: BTreeMap<Address, Member>,
    candidates: Candidates,
    former: Former,
    marked: BTreeSet<Address>,
    servers: Marks,
    outgoing: Outgoing,
    last_tick: Instant,
}

/// A message to send to a peer; the answer goes to [`Table::answered`], its absence to
/// [`Table::unanswered`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Peer that gets it.
    pub to: Address,
    /// Content.
    pub exchange: Exchange,
}

/// What the platform's host list says of an entry host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Address of the host's daemon for peers.
    pub address: Address,
    /// Whether the host is marked as leaving.
    pub leaving: bool,
}

impl Table {
    /// Creates a table that knows only this daemon and the addresses in `seeds`.
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
            former: Former::default(),
            marked: BTreeSet::new(),
            servers: Marks::default(),
            outgoing: Outgoing::new(rng, now),
            last_tick: now,
        }
    }

    /// Sets this daemon's phase and returns what to send at once, so that leaving is known quickly.
    pub fn set_phase(&mut self, phase: Phase, now: Instant) -> Vec<Heartbeat> {
        if !self.own.set_phase(phase) || phase != Phase::Leaving {
            return Vec::new();
        }
        let to = self.outgoing.sample(&self.members);
        self.heartbeats(to, now)
    }

    /// Sets the version that this daemon has in force; the loads told before lose their meaning.
    pub fn set_version(&mut self, version: Version) {
        self.own.set_version(version);
    }

    /// Sets this daemon's loads, one for each service that it serves.
    pub fn set_loads(&mut self, loads: Vec<Load>) {
        self.own.set_loads(loads);
    }

    /// Lets time pass and returns the heartbeats that are due; to be called several times a period.
    pub fn tick(&mut self, now: Instant) -> Vec<Heartbeat> {
        self.excuse_pause(now);
        for it in self.members.values_mut() {
            it.review(&self.settings, now);
        }
        let forget_after = self.settings.forget_after;
        self.members.retain(|_, it| it.heartbeat_age(now) <= forget_after);

        if !self.outgoing.is_due(&self.settings, now) {
            return Vec::new();
        }
        let mut to = self.outgoing.targets(&self.members, self.settings.fanout);
        to.extend(self.candidates.due(&self.members, &self.settings, now));
        to.sort();
        to.dedup();
        self.heartbeats(to, now)
    }

    /// Takes a peer's heartbeat and returns the answer to it.
    ///
    /// # Errors
    ///
    /// Returns why the message is refused; nothing of it is taken over then.
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
                it.take_loads(digest.version, &exchange.loads, now);
            }
            _ => self.candidates.add(from),
        }
        self.take_rumors(&exchange.rumors, now);
        self.servers.hear(&exchange.marks, now);
        Ok(self.message(from, &exchange.rumors, now))
    }

    /// Takes the answer of the daemon at `peer` to a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns why the message is refused; nothing of it is taken over then.
    pub fn answered(&mut self, peer: Address, exchange: Exchange, now: Instant) -> Result<()> {
        exchange.check()?;
        let answered = exchange.digest.identity.address;
        if answered == self.own.address() {
            return Err(Error::OwnAddress(answered));
        }
        if answered != peer {
            return Err(Error::WrongAddress { asked: peer, answered });
        }
        self.candidates.confirm(peer);
        let version = exchange.digest.version;
        self.admit(exchange.digest, now).take_loads(version, &exchange.loads, now);
        self.take_rumors(&exchange.rumors, now);
        self.servers.hear(&exchange.marks, now);
        Ok(())
    }

    /// Takes note that the daemon at `peer` did not answer a heartbeat in time.
    pub fn unanswered(&mut self, peer: Address) {
        self.candidates.miss(peer);
        if let Some(it) = self.members.get_mut(&peer) {
            it.misses = it.misses.saturating_add(1);
        }
    }

    /// Takes over the platform's list of entry hosts, which lags.
    ///
    /// A mark as leaving counts at once. For the incarnation that it meets first it is final; a later
    /// one at the same address waits until the mark is gone.
    pub fn set_host_list(&mut self, list: &[Listing], now: Instant) {
        let marked: BTreeSet<_> =
            list.iter().filter(|it| it.leaving).map(|it| it.address).collect();
        for it in marked.difference(&self.marked) {
            if let Some(member) = self.members.get_mut(it) {
                member.leave(now);
            }
        }
        self.marked = marked;
        self.candidates.set_listed(list.iter().map(|it| it.address));
    }

    /// Takes over which backend servers the platform's list marks as leaving.
    pub fn set_listed_servers(&mut self, marked: BTreeSet<SocketAddr>) {
        self.servers.set_read(marked);
    }

    /// Takes over which backend servers have told this host themselves that they are leaving.
    pub fn set_reported_servers(&mut self, leaving: BTreeSet<SocketAddr>) {
        self.servers.set_said(leaving);
    }

    /// Backend servers that are known to be leaving, here or at a peer.
    pub fn leaving_servers(&mut self, now: Instant) -> BTreeSet<SocketAddr> {
        self.servers.all(now)
    }

    /// Whether the host list marks this daemon's own host as leaving.
    #[must_use]
    pub fn is_marked_leaving(&self) -> bool {
        self.marked.contains(&self.own.address())
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// What to expect of a member now.
    #[must_use]
    pub fn liveness(&self, member: &Member, now: Instant) -> Liveness {
        member.liveness(&self.settings, now)
    }

    /// Entry hosts that `caller` should use, best first; those of `domain` come before others.
    ///
    /// Suspected hosts are left out unless most hosts are: then it is likely this daemon that is cut
    /// off, and they follow after the others.
    #[must_use]
    pub fn directions(&self, caller: &str, domain: Option<&Domain>, now: Instant) -> Vec<Identity> {
        let mut live: Vec<&Identity> = Vec::new();
        let mut doubtful: Vec<&Identity> = Vec::new();
        if self.own.phase() == Phase::Ready && !self.is_marked_leaving() {
            live.push(self.own.identity());
        }
        for it in self.members.values().filter(|it| self.takes_work(it)) {
            match self.liveness(it, now) {
                Liveness::Live => live.push(&it.identity),
                Liveness::Damped | Liveness::Suspect => doubtful.push(&it.identity),
            }
        }
        directions::sort(&mut live, caller, domain);
        if live.len() <= doubtful.len() {
            directions::sort(&mut doubtful, caller, domain);
            live.append(&mut doubtful);
        }
        live.into_iter().cloned().collect()
    }

    /// Where the daemon with this incarnation is.
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
        self.former.address(incarnation).map_or(Issuer::Unknown, Issuer::Replaced)
    }

    /// The member with the newest version above this daemon's own, to fetch it from.
    #[must_use]
    pub fn newest_peer(&self, now: Instant) -> Option<&Member> {
        self.members
            .values()
            .filter(|it| it.version > self.own.version())
            .filter(|it| self.liveness(it, now) != Liveness::Suspect)
            .max_by_key(|it| it.version)
    }

    /// Load of a service on one daemon of `domain`, or of any if there is none; this daemon's own load
    /// is left out, and so are peers with another version in force.
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

    fn takes_work(&self, member: &Member) -> bool {
        member.phase == Phase::Ready && !self.marked.contains(&member.identity.address)
    }

    /// After a pause of this process the silence of the others says nothing.
    fn excuse_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap < self.settings.period.mul_f64(1.5) {
            return;
        }
        for it in self.members.values_mut() {
            it.heard += gap;
        }
    }

    /// Takes the daemon that answered at its address as the holder of the address.
    fn admit(&mut self, digest: Digest, now: Instant) -> &mut Member {
        let address = digest.identity.address;
        let news = rumor_of(&digest);
        let mut member = Member::new(digest, now);
        if let Some(known) = self.members.remove(&address) {
            if known.identity.incarnation == member.identity.incarnation {
                member = known;
            } else {
                self.former.add(known.identity.incarnation, address);
                member.returns = known.returns.saturating_add(1);
            }
        }
        member.refresh(&news, now);
        self.members.entry(address).or_insert(member)
    }

    fn take_rumors(&mut self, rumors: &[Rumor], now: Instant) {
        let own = self.own.address();
        for it in rumors.iter().filter(|it| it.address != own) {
            match self.members.get_mut(&it.address) {
                Some(member) if tag(member.identity.incarnation) == it.tag => {
                    member.refresh(it, now);
                }
                _ => self.consider(it),
            }
        }
    }

    /// A rumor of an unknown incarnation makes its address a candidate, if it can be alive.
    fn consider(&mut self, rumor: &Rumor) {
        let fresh = u128::from(rumor.age_ms) < self.settings.suspect_after.as_millis();
        let known_former = self.former.has_tag(rumor.tag);
        if fresh && !known_former && rumor.phase != Phase::Leaving {
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
            marks: self.servers.told(),
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

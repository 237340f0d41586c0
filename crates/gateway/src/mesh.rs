//! Datagrams between daemons: heartbeats, loads, and what one of them has read from the store.

use std::{collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};

use tokio::net::UdpSocket;

use crate::{
    gateway::Gateway,
    peer::{Event, Heartbeat, Load, Packet, Relay},
    registry::{self, UpstreamId},
};

/// Time for which loads are gathered before peers are told.
const LOAD_DELAY: Duration = Duration::from_millis(3);
/// How often beats are considered.
const BEAT_LOOK: Duration = Duration::from_millis(100);
/// Largest datagram that is sent; larger ones would be split on the way.
const MAX_DATAGRAM: usize = 1_400;
/// Loads in one datagram.
const LOADS_PER_DATAGRAM: usize = 60;
/// Changes of the registry in one datagram.
const CHANGES_PER_DATAGRAM: usize = 10;
/// Changes that one read may make this daemon tell, counted for each peer: 1 to 2 MB.
const MAX_TOLD: usize = 16_000;
/// Reports older than this are not passed on.
const REPORT_LIFE: Duration = Duration::from_millis(150);

/// Datagrams between daemons.
pub struct Mesh {
    gateway: Rc<Gateway>,
    socket: UdpSocket,
}

impl Mesh {
    /// A mesh on the address of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be used.
    pub async fn bind(gateway: Rc<Gateway>) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(gateway.settings().peer_address).await?;
        Ok(Rc::new(Self { gateway, socket }))
    }

    /// Takes in datagrams until the task is dropped.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; 64 << 10];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((len, from)) => match postcard::from_bytes(&buffer[..len]) {
                    Ok(it) => self.take(from, it),
                    Err(e) => log::warn!("event=datagram-malformed from={from} error={e}"),
                },
                Err(e) => {
                    log::warn!("event=datagram-failed error={e}");
                    tokio::time::sleep(BEAT_LOOK).await;
                }
            }
        }
    }

    /// Sends beats until the task is dropped.
    pub async fn beat(self: Rc<Self>) {
        loop {
            let now = self.gateway.now();
            if self.gateway.activity.borrow_mut().update(now, self.gateway.taken.get()) {
                let activity = self.gateway.activity.borrow();
                log::info!(
                    target: "belief",
                    "event=activity active={} used_cores={:.3}",
                    activity.is_active(), activity.used_cores()
                );
                drop(activity);
                self.gateway.unplace();
                self.announce();
            }
            let events = self.gateway.peers.borrow_mut().tick(now);
            self.note(&events);
            self.gateway.share_budgets(now);
            self.gateway.place(now);
            let is_active = self.gateway.activity.borrow().is_active();
            let due = self.gateway.peers.borrow_mut().due_heartbeats(now, is_active);
            for (address, wants_reply) in due {
                let heartbeat = self.own_beat(wants_reply);
                self.send(address, &Packet::Heartbeat(heartbeat));
            }
            // Waiting ends early when there is news.
            let news = self.gateway.news.notified();
            if tokio::time::timeout(BEAT_LOOK, news).await.is_ok() {
                self.announce();
            }
        }
    }

    /// Tells every peer at once where this daemon stands.
    pub fn announce(&self) {
        let addresses: Vec<_> =
            self.gateway.peers.borrow().live_addresses(self.gateway.now()).collect();
        for it in addresses {
            self.send(it, &Packet::Heartbeat(self.own_beat(false)));
        }
    }

    /// Tells the peers that look after an upstream of its load as it changes, until the task is
    /// dropped.
    pub async fn tell_loads(self: Rc<Self>) {
        loop {
            self.gateway.loads_changed.notified().await;
            tokio::time::sleep(LOAD_DELAY).await;
            let mut by_peer: BTreeMap<SocketAddr, Vec<Load>> = BTreeMap::new();
            for (id, load) in self.changed_loads() {
                for peer in self.gateway.assigned_peers(&id).iter().flat_map(|it| it.iter()) {
                    by_peer.entry(*peer).or_default().push(load);
                }
            }
            for (peer, loads) in by_peer {
                for part in loads.chunks(LOADS_PER_DATAGRAM) {
                    self.send(peer, &Packet::Loads(self.gateway.key, part.to_vec()));
                }
            }
        }
    }

    /// Tells peers what was read from the store; too much to tell each of them is left to their own
    /// reading.
    pub fn relay(&self, relay: Relay) {
        let peers: Vec<_> =
            self.gateway.peers.borrow().live_addresses(self.gateway.now()).collect();
        let changes = relay.changes.len();
        if changes * peers.len() > MAX_TOLD {
            log::info!(target: "belief", "event=relay-omitted changes={changes} peers={}", peers.len());
            return;
        }
        for it in relay.split(CHANGES_PER_DATAGRAM) {
            self.send_all(&peers, &Packet::Relay(it));
        }
    }

    fn changed_loads(&self) -> Vec<(UpstreamId, Load)> {
        let now = self.gateway.now();
        let changed = self.gateway.take_changed();
        let load = |id: &UpstreamId| {
            let dispatcher = self.gateway.dispatcher_of(id)?;
            let service = dispatcher.service.borrow();
            let upstream = service.get(id)?;
            let report = upstream
                .report_to_share(now, REPORT_LIFE)
                .map(|(report, age)| (report, u32::try_from(age.as_millis()).unwrap_or(u32::MAX)));
            let load =
                Load { upstream: registry::key(id), in_flight: upstream.own_in_flight(), report };
            Some((id.clone(), load))
        };
        changed.iter().filter_map(load).collect()
    }

    fn own_beat(&self, wants_reply: bool) -> Heartbeat {
        let gateway = &self.gateway;
        let settings = gateway.settings();
        let registry = gateway.registry.borrow();
        Heartbeat {
            key: gateway.key,
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            caller_address: settings.caller_address,
            phase: gateway.phase.get(),
            capacity: gateway.capacity(),
            is_active: gateway.activity.borrow().is_active(),
            config: gateway.version(),
            config_checked_ms: gateway.config_checked.get().map(|it| {
                let age = gateway.now().saturating_duration_since(it);
                u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
            }),
            registry_end: registry.end(),
            registry_digest: registry.digest(),
            peers: gateway.peers.borrow_mut().gossip(gateway.now()),
            wants_reply,
        }
    }

    fn take(&self, from: SocketAddr, packet: Packet) {
        let now = self.gateway.now();
        match packet {
            Packet::Heartbeat(it) => self.take_beat(from, it),
            Packet::Loads(host, loads) => {
                self.gateway.peers.borrow_mut().record_datagram(now, from);
                for it in loads {
                    self.take_load(host, it);
                }
            }
            Packet::Relay(it) => {
                self.gateway.peers.borrow_mut().record_datagram(now, from);
                self.take_relay(from, it);
            }
        }
    }

    fn take_beat(&self, from: SocketAddr, heartbeat: Heartbeat) {
        let gateway = &self.gateway;
        let now = gateway.now();
        let is_newer = heartbeat.config > gateway.version();
        let (end, digest, wants_reply) =
            (heartbeat.registry_end, heartbeat.registry_digest, heartbeat.wants_reply);
        let events = gateway.peers.borrow_mut().record_heartbeat(now, from, heartbeat);
        self.note(&events);
        if wants_reply {
            self.send(from, &Packet::Heartbeat(self.own_beat(false)));
        }
        if is_newer {
            gateway.config_wanted.notify_one();
        }
        let has_diverged = gateway.registry.borrow_mut().check_divergence(now, end, digest);
        if has_diverged {
            log::warn!("event=registry-differs from={from} end={end}");
            gateway.registry_wanted.notify_one();
        }
    }

    fn take_load(&self, host: u64, load: Load) {
        let Some((dispatcher, id)) = self.gateway.upstream_of(load.upstream) else { return };
        let now = self.gateway.now();
        let mut service = dispatcher.service.borrow_mut();
        service.record_peer_load(now, host, &id, load.in_flight);
        if let Some((report, age)) = load.report
            && let Some(at) = now.checked_sub(Duration::from_millis(age.into()))
        {
            service.record_peer_report(at, &id, report);
        }
        drop(service);
        dispatcher.serve_queue(now);
    }

    fn take_relay(&self, from: SocketAddr, relay: Relay) {
        let gateway = &self.gateway;
        let end = gateway.registry.borrow().end();
        if end == 0 {
            // The first read, of the whole registry, is under way.
            return;
        }
        if relay.from > end {
            gateway.registry_wanted.notify_one();
            return;
        }
        if relay.to < end {
            return;
        }
        let source = format!("peer:{from}");
        for it in relay.changes {
            let change = gateway.registry.borrow_mut().apply_from_peer(it);
            if let Some(it) = change {
                gateway.apply(&it, &source);
            }
        }
        gateway.registry.borrow_mut().advance(relay.to);
        self.apply_pending_removals();
        gateway.registry_read.notify_one();
    }

    /// Believes removals that were doubted only because this host could not reach the store.
    fn apply_pending_removals(&self) {
        let gateway = &self.gateway;
        gateway.registry.borrow_mut().peer_confirmed_store();
        let removals = gateway.registry.borrow_mut().tick(gateway.now());
        for it in &removals {
            gateway.apply(it, "doubt-ended");
        }
    }

    fn note(&self, events: &[Event]) {
        if !events.is_empty() {
            self.gateway.unplace();
        }
        for it in events {
            match it {
                Event::ActivityChanged => {}
                Event::Joined(host) => {
                    log::info!(target: "belief", "event=peer-joined host={host}");
                }
                Event::Leaving(host) => {
                    log::info!(target: "belief", "event=peer-leaving host={host}");
                }
                Event::Lost(host, key) => {
                    log::info!(target: "belief", "event=peer-lost host={host}");
                    for it in self.gateway.dispatchers() {
                        it.service.borrow_mut().remove_peer(*key);
                    }
                }
            }
        }
        let live = self.gateway.peers.borrow().live_count(self.gateway.now());
        self.gateway.metrics.peers.set(i64::from(live));
    }

    fn send(&self, to: SocketAddr, packet: &Packet) {
        self.send_all(&[to], packet);
    }

    /// Sends a datagram to each address; one that can't be sent now is lost, as on the way.
    fn send_all(&self, to: &[SocketAddr], packet: &Packet) {
        let bytes = match postcard::to_allocvec(packet) {
            Ok(it) => it,
            Err(e) => {
                log::error!("event=datagram-not-encoded error={e}");
                return;
            }
        };
        if bytes.len() > MAX_DATAGRAM {
            log::debug!("event=datagram-large bytes={}", bytes.len());
        }
        for it in to {
            if let Err(e) = self.socket.try_send_to(&bytes, *it)
                && e.kind() != io::ErrorKind::WouldBlock
            {
                log::debug!("event=datagram-not-sent to={it} error={e}");
            }
        }
    }
}

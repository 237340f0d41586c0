//! Datagrams between daemons: heartbeats, loads and registry changes.

mod confirmation;

use std::{collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};

use tokio::net::UdpSocket;

use crate::{
    gateway::Gateway,
    peer::{Departure, Event, Heartbeat, Load, Packet, Relay},
    rate::REPORT_INTERVAL,
    registry::{self, UpstreamId},
};

/// Time for which changed loads are collected before they are sent to peers.
const LOAD_BATCH_TIME: Duration = Duration::from_millis(3);
/// Interval at which due heartbeats are checked.
const HEARTBEAT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Size above which a datagram is logged, since it may be fragmented on the way.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum number of loads in a datagram.
const LOADS_PER_DATAGRAM: usize = 60;
/// Maximum number of temperatures in a datagram.
const TEMPERATURES_PER_DATAGRAM: usize = 80;
/// Maximum number of registry changes in a datagram.
const CHANGES_PER_DATAGRAM: usize = 10;
/// Maximum number of registry changes that this daemon relays after one read, counted once for each
/// peer: 1 to 2 MB.
const MAX_RELAYED_CHANGES: usize = 16_000;
/// Time after which departures are sent a second time.
const DEPARTURE_REPEAT_TIME: Duration = Duration::from_millis(200);
/// Number of recent departures sent to a peer that has joined.
const RECENT_DEPARTURES: usize = 100;
/// Age from which reports are not sent to peers.
const MAX_REPORT_AGE: Duration = Duration::from_millis(150);

/// Socket for datagrams between daemons.
pub struct Mesh {
    gateway: Rc<Gateway>,
    socket: UdpSocket,
}

impl Mesh {
    /// Binds a socket to the peer address of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(gateway: Rc<Gateway>) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(gateway.settings().peer_address).await?;
        Ok(Rc::new(Self { gateway, socket }))
    }

    /// Handles received datagrams until the task is dropped.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; 64 << 10];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((len, from)) => match postcard::from_bytes(&buffer[..len]) {
                    Ok(it) => self.handle_packet(from, it),
                    Err(e) => log::warn!("event=datagram-malformed from={from} error={e}"),
                },
                Err(e) => {
                    log::warn!("event=datagram-failed error={e}");
                    tokio::time::sleep(HEARTBEAT_CHECK_INTERVAL).await;
                }
            }
        }
    }

    /// Sends heartbeats until the task is dropped.
    pub async fn send_heartbeats(self: Rc<Self>) {
        loop {
            let now = self.gateway.now();
            if self.gateway.activity.borrow_mut().update(now, self.gateway.request_count.get()) {
                let activity = self.gateway.activity.borrow();
                log::info!(
                    target: "belief",
                    "event=activity active={} used_cores={:.3}",
                    activity.is_active(), activity.used_cores()
                );
                drop(activity);
                self.gateway.invalidate_placement();
                self.broadcast_heartbeat();
            }
            self.gateway.end_evacuation_hold();
            let events = self.gateway.peers.borrow_mut().tick(now);
            self.handle_events(&events);
            self.gateway.share_budgets(now);
            self.gateway.update_placement(now);
            let is_active = self.gateway.activity.borrow().is_active();
            let due = self.gateway.peers.borrow_mut().due_heartbeats(now, is_active);
            for (address, wants_reply) in due {
                let heartbeat = self.own_heartbeat(wants_reply);
                self.send(address, &Packet::Heartbeat(heartbeat));
            }
            // Ends early when heartbeats are wanted immediately.
            let wanted = self.gateway.heartbeat_wanted.notified();
            let is_wanted = tokio::time::timeout(HEARTBEAT_CHECK_INTERVAL, wanted).await.is_ok();
            if is_wanted || self.gateway.take_evacuation_repeat() {
                self.broadcast_heartbeat();
            }
        }
    }

    /// Sends a heartbeat to every live peer.
    pub fn broadcast_heartbeat(&self) {
        let addresses: Vec<_> =
            self.gateway.peers.borrow().live_addresses(self.gateway.now()).collect();
        for it in addresses {
            self.send(it, &Packet::Heartbeat(self.own_heartbeat(false)));
        }
    }

    /// Sends changed loads of upstreams to the peers that they are assigned to, until the task is
    /// dropped.
    pub async fn send_loads(self: Rc<Self>) {
        loop {
            self.gateway.loads_changed.notified().await;
            tokio::time::sleep(LOAD_BATCH_TIME).await;
            let mut loads_by_peer: BTreeMap<SocketAddr, Vec<Load>> = BTreeMap::new();
            for (id, load) in self.changed_loads() {
                for peer in self.gateway.assigned_peers(&id).iter().flat_map(|it| it.iter()) {
                    loads_by_peer.entry(*peer).or_default().push(load);
                }
            }
            for (peer, loads) in loads_by_peer {
                for part in loads.chunks(LOADS_PER_DATAGRAM) {
                    self.send(peer, &Packet::Loads(self.gateway.key, part.to_vec()));
                }
            }
        }
    }

    /// Sends departures of upstreams to all live peers, until the task is dropped. Each is sent
    /// twice, since a datagram may be lost.
    pub async fn send_departures(self: Rc<Self>) {
        loop {
            self.gateway.departure_noticed.notified().await;
            tokio::time::sleep(LOAD_BATCH_TIME).await;
            let departures = self.gateway.take_departures();
            for delay in [Duration::ZERO, DEPARTURE_REPEAT_TIME] {
                tokio::time::sleep(delay).await;
                let peers: Vec<_> =
                    self.gateway.peers.borrow().live_addresses(self.gateway.now()).collect();
                self.send_departures_to(&peers, &departures);
            }
        }
    }

    /// Sends what upstreams say about their slow starts to all live peers, until the task is dropped.
    /// Each is sent twice, since a datagram may be lost.
    pub async fn send_temperatures(self: Rc<Self>) {
        loop {
            self.gateway.temperature_noticed.notified().await;
            tokio::time::sleep(LOAD_BATCH_TIME).await;
            let news = self.gateway.take_temperature_news();
            for delay in [Duration::ZERO, DEPARTURE_REPEAT_TIME] {
                tokio::time::sleep(delay).await;
                let peers: Vec<_> =
                    self.gateway.peers.borrow().live_addresses(self.gateway.now()).collect();
                for part in news.chunks(TEMPERATURES_PER_DATAGRAM) {
                    self.send_all(&peers, &Packet::Temperatures(part.to_vec()));
                }
            }
        }
    }

    /// Sends the requests of tenants with quotas to the peers that share them, until the task is
    /// dropped.
    pub async fn send_demands(self: Rc<Self>) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let Some((peers, parts)) = self.gateway.demands_to_send(self.gateway.now()) else {
                continue;
            };
            for it in parts {
                self.send_all(&peers, &Packet::Demand(it));
            }
        }
    }

    fn send_departures_to(&self, peers: &[SocketAddr], departures: &[Departure]) {
        for part in departures.chunks(CHANGES_PER_DATAGRAM) {
            self.send_all(peers, &Packet::Departures(part.to_vec()));
        }
    }

    /// Sends registry changes read from the store to all live peers. If they are too many, peers
    /// read the store themselves.
    pub fn relay(&self, relay: Relay) {
        let peers: Vec<_> =
            self.gateway.peers.borrow().live_addresses(self.gateway.now()).collect();
        let changes = relay.changes.len();
        if changes * peers.len() > MAX_RELAYED_CHANGES {
            log::info!(target: "belief", "event=relay-omitted changes={changes} peers={}", peers.len());
            return;
        }
        for it in relay.split(CHANGES_PER_DATAGRAM) {
            self.send_all(&peers, &Packet::Relay(it));
        }
    }

    fn changed_loads(&self) -> Vec<(UpstreamId, Load)> {
        let now = self.gateway.now();
        let changed = self.gateway.take_changed_loads();
        let load = |id: &UpstreamId| {
            let dispatcher = self.gateway.dispatcher_of(id)?;
            let service = dispatcher.service.borrow();
            let upstream = service.get(id)?;
            let report = upstream
                .report_to_share(now, MAX_REPORT_AGE)
                .map(|(report, age)| (report, u32::try_from(age.as_millis()).unwrap_or(u32::MAX)));
            let load =
                Load { upstream: registry::key(id), in_flight: upstream.own_in_flight(), report };
            Some((id.clone(), load))
        };
        changed.iter().filter_map(load).collect()
    }

    fn own_heartbeat(&self, wants_reply: bool) -> Heartbeat {
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
            config_checked_ms: gateway.last_config_read.get().map(|it| {
                let age = gateway.now().saturating_duration_since(it);
                u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
            }),
            evacuations: gateway.evacuations(),
            registry_era: registry.era(),
            registry_end: registry.end(),
            registry_digest: registry.digest(),
            peers: gateway.peers.borrow_mut().gossip(gateway.now()),
            wants_reply,
        }
    }

    fn handle_packet(&self, from: SocketAddr, packet: Packet) {
        let now = self.gateway.now();
        match packet {
            Packet::Heartbeat(it) => self.handle_heartbeat(from, it),
            Packet::Loads(host, loads) => {
                self.gateway.peers.borrow_mut().record_datagram(now, from);
                for it in loads {
                    self.handle_load(host, it);
                }
            }
            Packet::Relay(it) => {
                self.gateway.peers.borrow_mut().record_datagram(now, from);
                self.handle_relay(from, it);
            }
            Packet::Departures(departures) => {
                self.gateway.peers.borrow_mut().record_datagram(now, from);
                let source = format!("peer:{from}");
                for it in &departures {
                    self.gateway.record_departure(it, &source);
                }
            }
            Packet::Demand(it) => {
                self.gateway.peers.borrow_mut().record_datagram(now, from);
                self.gateway.record_demands(now, &it);
            }
            Packet::ConfigQuery(query) => {
                self.gateway.peers.borrow_mut().record_datagram(now, from);
                self.send(from, &Packet::ConfigReply(self.gateway.config_reply(query)));
            }
            Packet::ConfigReply(it) => {
                self.gateway.peers.borrow_mut().record_datagram(now, from);
                self.gateway.record_config_reply(it);
            }
            Packet::Temperatures(temperatures) => {
                self.gateway.peers.borrow_mut().record_datagram(now, from);
                for it in temperatures {
                    self.gateway.record_peer_temperature(it);
                }
            }
        }
    }

    fn handle_heartbeat(&self, from: SocketAddr, heartbeat: Heartbeat) {
        let gateway = &self.gateway;
        let now = gateway.now();
        let is_newer = heartbeat.config > gateway.version();
        let (era, end, digest) =
            (heartbeat.registry_era, heartbeat.registry_end, heartbeat.registry_digest);
        let wants_reply = heartbeat.wants_reply;
        // Before the configuration can be fetched, so that no daemon becomes ready without it.
        gateway.adopt_evacuations(&heartbeat.evacuations, from);
        let events = gateway.peers.borrow_mut().record_heartbeat(now, from, heartbeat);
        self.handle_events(&events);
        if events.iter().any(|it| matches!(it, Event::Joined(_))) {
            self.send_departures_to(&[from], &gateway.newest_departures(RECENT_DEPARTURES));
        }
        if wants_reply {
            self.send(from, &Packet::Heartbeat(self.own_heartbeat(false)));
        }
        if is_newer {
            gateway.config_wanted.notify_one();
        }
        let mut registry = gateway.registry.borrow_mut();
        let is_same_era = registry.era() == era;
        let has_diverged = is_same_era && registry.check_divergence(now, end, digest);
        let differs = is_same_era && registry.differs(end, digest);
        drop(registry);
        if has_diverged {
            log::warn!("event=registry-differs from={from} end={end}");
            gateway.compare_registry(from);
            gateway.registry_wanted.notify_one();
        } else if differs && gateway.may_compare_new_registry() {
            gateway.compare_registry(from);
        }
    }

    fn handle_load(&self, host: u64, load: Load) {
        let Some((dispatcher, id)) = self.gateway.find_upstream(load.upstream) else { return };
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

    fn handle_relay(&self, from: SocketAddr, relay: Relay) {
        let gateway = &self.gateway;
        let end = gateway.registry.borrow().end();
        if end == 0 {
            // The initial read of the whole registry is in progress.
            return;
        }
        let era = gateway.registry.borrow().era();
        if relay.era != era {
            if relay.era > era {
                gateway.registry_wanted.notify_one();
            }
            return;
        }
        let trusts_removals = gateway.registry.borrow().trusts_removals();
        if !relay.is_trusted && trusts_removals {
            // The calls of the sender failed for local reasons; this daemon reads the store itself.
            return;
        }
        if relay.from > end {
            gateway.registry_wanted.notify_one();
            return;
        }
        let now = gateway.now();
        if !relay.is_trusted {
            gateway.registry.borrow_mut().store_answered(now);
        }
        let source = format!("peer:{from}");
        let changes = relay.changes.into_iter().filter(|(offset, _)| *offset >= end);
        for (_, it) in changes {
            let mut registry = gateway.registry.borrow_mut();
            let change = if relay.is_trusted {
                registry.apply_from_peer(it)
            } else {
                registry.apply(now, it)
            };
            drop(registry);
            if let Some(it) = change {
                gateway.apply(&it, &source);
            }
        }
        gateway.registry.borrow_mut().advance(relay.to);
        if relay.is_trusted {
            self.apply_pending_removals();
        }
        if relay.to >= end {
            gateway.registry_relayed.notify_one();
        }
    }

    /// Applies removals that were pending only because this host could not reach the store.
    fn apply_pending_removals(&self) {
        let gateway = &self.gateway;
        gateway.registry.borrow_mut().peer_confirmed_store();
        let removals = gateway.registry.borrow_mut().tick(gateway.now());
        for it in &removals {
            gateway.apply(it, "doubt-ended");
        }
    }

    fn handle_events(&self, events: &[Event]) {
        if !events.is_empty() {
            self.gateway.invalidate_placement();
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

    /// Sends a datagram to each address. If the socket can't send it now, it is dropped like one
    /// lost on the network.
    fn send_all(&self, to: &[SocketAddr], packet: &Packet) {
        let bytes = match postcard::to_allocvec(packet) {
            Ok(it) => it,
            Err(e) => {
                log::error!("event=datagram-not-encoded error={e}");
                return;
            }
        };
        if bytes.len() > MAX_DATAGRAM_BYTES {
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

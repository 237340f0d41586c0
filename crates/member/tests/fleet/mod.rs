//! Simulates tables that exchange heartbeats, with a manual clock and links that can be cut.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use member::{Address, Heartbeat, Identity, Load, Phase, Settings, Table};

/// Incarnation of host 0, with as many digits as random ones.
pub(crate) const FIRST_INCARNATION: u64 = 9_876_543_210_987_654_000;
/// Resolution of the simulated time.
pub(crate) const STEP: Duration = Duration::from_millis(250);

pub(crate) struct Fleet {
    pub(crate) now: Instant,
    pub(crate) tables: BTreeMap<Address, Table>,
    /// Links from the first host to the second that drop all messages.
    pub(crate) cut: BTreeSet<(Address, Address)>,
    /// Hosts whose process is paused.
    pub(crate) paused: BTreeSet<Address>,
    /// Traffic sent and received by each host; `None` if it isn't counted.
    pub(crate) traffic: Option<BTreeMap<Address, Traffic>>,
    settings: Settings,
    seed: u64,
}

#[derive(Clone, Copy, Default)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

pub(crate) fn address(host: u16) -> Address {
    let [high, low] = host.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

pub(crate) fn identity(host: u16, incarnation: u64) -> Identity {
    Identity {
        address: address(host),
        entry: SocketAddr::from((address(host).ip(), 80)),
        admin: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        domain: format!("domain-{}", host % 4).into(),
        incarnation,
    }
}

impl Fleet {
    pub(crate) fn new(hosts: u16, seed: u64) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            tables: BTreeMap::new(),
            cut: BTreeSet::new(),
            paused: BTreeSet::new(),
            traffic: None,
            settings: Settings::default(),
            seed,
        };
        for it in 0..hosts {
            fleet.start(it, FIRST_INCARNATION + u64::from(it));
        }
        fleet
    }

    /// Starts a ready daemon with two seed hosts.
    pub(crate) fn start(&mut self, host: u16, incarnation: u64) {
        self.seed += 1;
        let rng = fastrand::Rng::with_seed(self.seed);
        let seeds = [address(0), address(1)];
        let mut table =
            Table::new(identity(host, incarnation), &seeds, self.settings, rng, self.now);
        table.set_phase(Phase::Ready, self.now);
        table.set_version(1);
        let loads = (0..130).map(|service| Load { service, in_flight: 2, queued: 0 });
        table.set_loads(loads.collect());
        self.tables.insert(address(host), table);
    }

    pub(crate) fn stop(&mut self, host: u16) {
        self.tables.remove(&address(host));
    }

    pub(crate) fn table(&mut self, host: u16) -> &mut Table {
        self.tables.get_mut(&address(host)).unwrap()
    }

    pub(crate) fn cut(&mut self, from: u16, to: u16) {
        self.cut.insert((address(from), address(to)));
    }

    /// Sets a host's phase and delivers the resulting heartbeats.
    pub(crate) fn set_phase(&mut self, host: u16, phase: Phase) {
        let now = self.now;
        let heartbeats = self.table(host).set_phase(phase, now);
        self.deliver(address(host), heartbeats);
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let hosts: Vec<_> = self.tables.keys().copied().collect();
            for it in hosts.into_iter().filter(|it| !self.paused.contains(it)).collect::<Vec<_>>() {
                let heartbeats = self.tables.get_mut(&it).unwrap().tick(self.now);
                self.deliver(it, heartbeats);
            }
        }
    }

    fn deliver(&mut self, from: Address, heartbeats: Vec<Heartbeat>) {
        for it in heartbeats {
            self.count(from, it.to, &it.exchange);
            let arrives = !self.cut.contains(&(from, it.to)) && !self.paused.contains(&it.to);
            let receiver = self.tables.get_mut(&it.to).filter(|_| arrives);
            let answer = receiver.and_then(|table| table.receive(&it.exchange, self.now).ok());
            let answer = answer.filter(|_| !self.cut.contains(&(it.to, from)));
            match answer {
                None => self.tables.get_mut(&from).unwrap().unanswered(it.to),
                Some(answer) => {
                    self.count(it.to, from, &answer);
                    let sender = self.tables.get_mut(&from).unwrap();
                    sender.answered(it.to, answer, self.now).unwrap();
                }
            }
        }
    }

    fn count(&mut self, from: Address, to: Address, message: &member::Exchange) {
        let Some(traffic) = &mut self.traffic else { return };
        let bytes = serde_json::to_vec(message).unwrap().len() as u64;
        for it in [from, to] {
            let sum = traffic.entry(it).or_default();
            sum.messages += 1;
            sum.bytes += bytes;
        }
    }

    /// Number of entry hosts in the directions of `host`.
    pub(crate) fn listed(&self, host: u16) -> usize {
        self.tables[&address(host)].directions("caller", None, self.now).len()
    }

    /// Whether the directions of `host` list `other`.
    pub(crate) fn lists(&self, host: u16, other: u16) -> bool {
        let directions = self.tables[&address(host)].directions("caller", None, self.now);
        directions.iter().any(|it| it.address == address(other))
    }

    /// Number of hosts, except `other`, whose directions list `other`.
    pub(crate) fn listing_hosts(&self, other: u16) -> usize {
        let hosts = self.tables.keys().filter(|it| **it != address(other));
        let directions = hosts.map(|it| self.tables[it].directions("caller", None, self.now));
        directions.filter(|all| all.iter().any(|it| it.address == address(other))).count()
    }
}

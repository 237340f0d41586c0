//! A fleet of daemons that share quotas, simulated with lossy datagrams and faults.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use gateway::{
    config::Tenant,
    rate::{Demand, Quotas, REPORT_INTERVAL, Terms, Window, tenant_key},
};

const STEP: Duration = Duration::from_millis(10);
const TICK: Duration = Duration::from_millis(100);
const WINDOW: Duration = Duration::from_secs(5);
/// Time without a datagram after which a peer is no longer live.
const LIVE_TIME: Duration = Duration::from_millis(3_400);
/// Time without a datagram after which a peer is forgotten.
const CONTACT_TIME: Duration = Duration::from_mins(1);
/// Time after its start until a daemon has found the others.
pub(crate) const DISCOVERY_TIME: Duration = Duration::from_millis(600);
const QUOTA_FACTOR: f64 = 1.6;

/// How a fleet's rate is divided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policy {
    /// The daemon's own.
    Quotas,
    /// A token bucket each with an equal part.
    EqualParts,
    /// A token bucket each with a part by recent use, and a twentieth in equal parts.
    PartsByUse,
    /// An owner of each tenant gives out leases of half a second's use.
    Leases,
    /// Leases beyond a guaranteed minimum, which is an equal part of half of the margin.
    MinimumAndLeases,
}

impl Policy {
    pub(crate) const ALL: [Self; 5] =
        [Self::Quotas, Self::EqualParts, Self::PartsByUse, Self::Leases, Self::MinimumAndLeases];
}

/// Requests of all tenants.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Multiple of the usual rate.
    pub(crate) factor: f64,
}

impl Load {
    pub(crate) fn usual() -> Self {
        Self { factor: 1.0 }
    }
}

/// Which daemons callers use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Spread {
    /// Each request goes to any daemon in use.
    Even,
    /// Each of five callers of a tenant uses one daemon for 2 to 6 s and then another.
    Sticky,
    /// All requests of a tenant go to one daemon for 2 to 6 s and then to another.
    One,
}

/// A fault, until [`Fleet::heal`] or its own end.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The daemons are divided into groups that can't reach each other.
    Cut { groups: usize },
    /// Some daemons are cut off from all others.
    Islands { share: f64 },
    /// Some daemons stand still.
    Freeze { share: f64, time: Duration },
    /// Some daemons are killed and started again after a time.
    KillPart { share: f64, time: Duration },
    /// A share of the datagrams is lost.
    Loss { share: f64 },
    /// Datagrams take up to this time.
    Late { time: Duration },
    /// Callers use other daemons, also ones not used before.
    Move,
}

impl Fault {
    pub(crate) fn any(rng: &mut fastrand::Rng) -> Self {
        let time = Duration::from_millis(rng.u64(200..6_000));
        let share = [0.1, 0.3, 0.5, 1.0][rng.usize(..4)];
        match rng.u32(..8) {
            0 | 1 => Self::Cut { groups: rng.usize(2..6) },
            2 => Self::Islands { share },
            3 => Self::Freeze { share, time },
            4 => Self::KillPart { share, time },
            5 => Self::Loss { share: rng.f64() * 0.4 },
            6 => Self::Late { time: Duration::from_millis(rng.u64(50..700)) },
            _ => Self::Move,
        }
    }
}

/// What became of a tenant's requests.
#[derive(Clone, Debug)]
pub(crate) struct Results {
    pub(crate) usual_per_s: f64,
    pub(crate) rate_per_s: f64,
    pub(crate) time: Duration,
    pub(crate) admitted: u32,
    pub(crate) refused: u32,
    /// Requests refused although all daemons together had admitted less than the quota.
    pub(crate) refused_below: u32,
    /// The most requests in a window, as a share of the limit.
    pub(crate) worst: f64,
}

impl Results {
    pub(crate) fn asked_per_s(&self) -> f64 {
        f64::from(self.admitted + self.refused) / self.time.as_secs_f64()
    }

    pub(crate) fn admitted_per_s(&self) -> f64 {
        f64::from(self.admitted) / self.time.as_secs_f64()
    }
}

/// One tenant's tokens at one daemon, for the alternatives.
#[derive(Clone, Copy, Debug)]
struct Tokens {
    available: f64,
    minimum: f64,
    refilled_at: Instant,
    expire_at: Instant,
    asked_at: Option<Instant>,
}

struct Host {
    key: u64,
    quotas: Quotas,
    tokens: Vec<Tokens>,
    rates: Vec<Window>,
    known_rates: BTreeMap<(usize, usize), (Instant, [u32; 2])>,
    sent_rates: Vec<[u32; 2]>,
    started: Instant,
    heard: Vec<Option<Instant>>,
    next_report: Instant,
    still_until: Instant,
    dead_until: Instant,
    is_dead: bool,
    group: usize,
    inbox: VecDeque<(usize, Content)>,
    backlog: Vec<usize>,
}

#[derive(Clone, Debug)]
enum Content {
    Report { key: u64, age: Duration, serial: u32, demands: Vec<Demand> },
    Ask { tenant: usize, count: f64 },
    Grant { tenant: usize, count: f64, expire_at: Instant },
}

struct Datagram {
    from: usize,
    to: usize,
    content: Content,
}

struct Client {
    tenant: Tenant,
    usual_per_s: f64,
    admitted: VecDeque<Instant>,
    /// Requests that the owner of the tenant has given out, for the alternatives.
    leased: VecDeque<(Instant, f64)>,
    callers: Vec<(usize, Instant)>,
    results: Results,
}

pub(crate) struct Fleet {
    now: Instant,
    rng: fastrand::Rng,
    policy: Policy,
    hosts: Vec<Host>,
    used: Vec<usize>,
    clients: Vec<Client>,
    network: BTreeMap<(Instant, u64), Datagram>,
    datagrams: u64,
    load: Load,
    spread: Spread,
    loss: f64,
    delay: Duration,
    next_tick: Instant,
    discovery_time: Duration,
    activity_time: Duration,
}

impl Fleet {
    pub(crate) fn new(seed: u64, hosts: usize, used: usize, policy: Policy, usual: &[f64]) -> Self {
        let now = Instant::now();
        let client = |(number, usual_per_s): (usize, &f64)| {
            let rate_per_s = usual_per_s * QUOTA_FACTOR;
            let tenant = Tenant {
                id: format!("t{number}").into(),
                keys: Vec::new(),
                priority: None,
                rate_per_s,
                burst: *usual_per_s,
            };
            let results = Results {
                usual_per_s: *usual_per_s,
                rate_per_s,
                time: Duration::ZERO,
                admitted: 0,
                refused: 0,
                refused_below: 0,
                worst: 0.0,
            };
            let (admitted, leased) = (VecDeque::new(), VecDeque::new());
            let usual_per_s = *usual_per_s;
            Client { tenant, usual_per_s, admitted, leased, callers: Vec::new(), results }
        };
        let mut res = Self {
            now,
            rng: fastrand::Rng::with_seed(seed),
            policy,
            hosts: Vec::new(),
            used: (0..used).collect(),
            clients: usual.iter().enumerate().map(client).collect(),
            network: BTreeMap::new(),
            datagrams: 0,
            load: Load { factor: 0.0 },
            spread: Spread::Even,
            loss: 0.01,
            delay: Duration::from_millis(30),
            next_tick: now,
            discovery_time: DISCOVERY_TIME,
            activity_time: Duration::ZERO,
        };
        for _ in 0..hosts {
            let it = res.new_host(hosts);
            res.hosts.push(it);
        }
        // The daemons have run for a while.
        res.run(Duration::from_secs(8));
        res.clear_results();
        res
    }

    fn new_host(&mut self, hosts: usize) -> Host {
        let now = self.now;
        let empty = Tokens {
            available: 0.0,
            minimum: 0.0,
            refilled_at: now,
            expire_at: now,
            asked_at: None,
        };
        Host {
            key: self.rng.u64(..),
            quotas: Quotas::new(now, Terms::default()),
            tokens: vec![empty; self.clients.len()],
            rates: vec![Window::new(Duration::from_secs(1), TICK); self.clients.len()],
            known_rates: BTreeMap::new(),
            sent_rates: vec![[0; 2]; self.clients.len()],
            started: now,
            heard: vec![None; hosts],
            next_report: now + REPORT_INTERVAL.mul_f64(self.rng.f64()),
            still_until: now,
            dead_until: now,
            is_dead: false,
            group: 0,
            inbox: VecDeque::new(),
            backlog: Vec::new(),
        }
    }

    pub(crate) fn set_load(&mut self, load: Load, spread: Spread) {
        (self.load, self.spread) = (load, spread);
    }

    /// Sets the time after its start until a daemon has found the others, and until they know that
    /// callers use it.
    pub(crate) fn set_start_times(&mut self, discovery: Duration, activity: Duration) {
        (self.discovery_time, self.activity_time) = (discovery, activity);
    }

    pub(crate) fn set_quota_factor(&mut self, factor: f64) {
        for it in &mut self.clients {
            it.tenant.rate_per_s = it.usual_per_s * QUOTA_FACTOR * factor;
            it.tenant.burst = it.usual_per_s * factor;
            it.results.rate_per_s = it.tenant.rate_per_s;
        }
    }

    pub(crate) fn results(&self) -> Vec<Results> {
        self.clients.iter().map(|it| it.results.clone()).collect()
    }

    pub(crate) fn clear_results(&mut self) {
        for it in &mut self.clients {
            it.results.time = Duration::ZERO;
            (it.results.admitted, it.results.refused, it.results.refused_below) = (0, 0, 0);
            it.results.worst = 0.0;
        }
    }

    pub(crate) fn apply(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Cut { groups } => {
                for it in &mut self.hosts {
                    it.group = self.rng.usize(..groups);
                }
            }
            Fault::Islands { share } => {
                for (number, it) in self.hosts.iter_mut().enumerate() {
                    if self.rng.f64() < share {
                        it.group = 1_000 + number;
                    }
                }
            }
            Fault::Freeze { share, time } => {
                for it in &mut self.hosts {
                    if self.rng.f64() < share {
                        it.still_until = now + time;
                    }
                }
            }
            Fault::KillPart { share, time } => {
                let count = (self.hosts.len() as f64 * share).ceil();
                for (number, it) in self.hosts.iter_mut().enumerate() {
                    if (number as f64) < count {
                        it.dead_until = now + time;
                        it.is_dead = true;
                    }
                }
            }
            Fault::Loss { share } => self.loss = share,
            Fault::Late { time } => self.delay = time,
            Fault::Move => {
                let count = self.used.len();
                let mut all: Vec<_> = (0..self.hosts.len()).collect();
                self.rng.shuffle(&mut all);
                all.truncate(count);
                self.used = all;
                self.clients.iter_mut().for_each(|it| it.callers.clear());
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        self.hosts.iter_mut().for_each(|it| it.group = 0);
        (self.loss, self.delay) = (0.01, Duration::from_millis(30));
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        for number in 0..self.hosts.len() {
            if self.hosts[number].is_dead && self.hosts[number].dead_until <= now {
                let group = self.hosts[number].group;
                let new = self.new_host(self.hosts.len());
                self.hosts[number] = Host { group, ..new };
            }
        }
        if now >= self.next_tick {
            self.next_tick = now + TICK;
            (0..self.hosts.len()).for_each(|it| self.tick(it));
        }
        while let Some(entry) = self.network.first_entry()
            && entry.key().0 <= now
        {
            let Datagram { from, to, content } = entry.remove();
            self.hosts[to].inbox.push_back((from, content));
        }
        for number in 0..self.hosts.len() {
            self.work(number);
        }
        self.send_requests();
        for it in &mut self.clients {
            it.results.time += STEP;
        }
    }

    /// What a daemon does when it does not stand still.
    fn work(&mut self, number: usize) {
        let now = self.now;
        if !self.runs(number) {
            return;
        }
        // After standing still, requests and datagrams are handled in any order.
        if self.rng.bool() {
            self.read_inbox(number);
        }
        for tenant in std::mem::take(&mut self.hosts[number].backlog) {
            self.take(number, tenant);
        }
        self.read_inbox(number);
        if now >= self.hosts[number].next_report {
            self.hosts[number].next_report = now + REPORT_INTERVAL;
            self.report(number);
        }
    }

    fn read_inbox(&mut self, number: usize) {
        let now = self.now;
        while let Some((from, content)) = self.hosts[number].inbox.pop_front() {
            match content {
                Content::Report { key, age, serial, demands } => {
                    let host = &mut self.hosts[number];
                    for (tenant, client) in self.clients.iter().enumerate() {
                        let key = tenant_key(&client.tenant.id);
                        let Some(it) = demands.iter().find(|it| it.tenant == key) else { continue };
                        let known = host.known_rates.entry((tenant, from)).or_insert((now, [0; 2]));
                        *known = (now, [it.rate, known.1[0]]);
                    }
                    host.quotas.record(now, key, age, serial, &demands);
                }
                Content::Ask { tenant, count } => {
                    let client = &mut self.clients[tenant];
                    let is_old = |it: &(Instant, f64)| now.duration_since(it.0) >= WINDOW;
                    while client.leased.front().is_some_and(is_old) {
                        client.leased.pop_front();
                    }
                    let given: f64 = client.leased.iter().map(|it| it.1).sum();
                    let count = count.min((budget(&client.tenant) - given).floor());
                    if count >= 1.0 {
                        let expire_at = now + Duration::from_millis(500);
                        client.leased.push_back((expire_at, count));
                        self.send(number, from, Content::Grant { tenant, count, expire_at });
                    }
                }
                Content::Grant { tenant, count, expire_at } => {
                    let it = &mut self.hosts[number].tokens[tenant];
                    it.available = if it.expire_at > now { it.available + count } else { count };
                    it.expire_at = expire_at;
                }
            }
        }
    }

    fn runs(&self, number: usize) -> bool {
        !self.hosts[number].is_dead && self.hosts[number].still_until <= self.now
    }

    /// Whether a daemon says in its heartbeats that callers use it.
    fn is_active(&self, number: usize) -> bool {
        let age = self.now.duration_since(self.hosts[number].started);
        self.used.contains(&number) && age >= self.activity_time
    }

    /// Updates what a daemon knows of the others from heartbeats.
    fn tick(&mut self, number: usize) {
        let now = self.now;
        if !self.runs(number) {
            return;
        }
        for other in 0..self.hosts.len() {
            let is_found = now.duration_since(self.hosts[number].started) >= self.discovery_time
                && now.duration_since(self.hosts[other].started) >= self.discovery_time;
            let is_connected = self.hosts[number].group == self.hosts[other].group;
            if other != number && is_found && is_connected && self.runs(other) {
                self.hosts[number].heard[other] = Some(now);
            }
        }
        let (mut live, mut known, mut active) = (0, 0.0, 0);
        for other in 0..self.hosts.len() {
            let age = self.hosts[number].heard[other].map(|it| now.duration_since(it));
            if age.is_some_and(|it| it < LIVE_TIME) {
                live += 1;
                active += u32::from(self.is_active(other));
            }
            known += f64::from(u8::from(age.is_some_and(|it| it < CONTACT_TIME)));
        }
        let presence = (f64::from(live) + 1.0) / (known + 1.0);
        let presence = if live > 0 { presence } else { presence.min(0.25) };
        self.hosts[number].quotas.set_fleet(now, presence, live, active);
    }

    fn report(&mut self, number: usize) {
        let now = self.now;
        for tenant in 0..self.clients.len() {
            let host = &mut self.hosts[number];
            let rate = host.rates[tenant].total(now);
            host.sent_rates[tenant] = [rate, host.sent_rates[tenant][0]];
        }
        let host = &mut self.hosts[number];
        let (serial, mut demands) = host.quotas.report(now);
        if self.policy != Policy::Quotas {
            demands.clear();
            for (tenant, client) in self.clients.iter().enumerate() {
                let rate = host.sent_rates[tenant][0];
                let tenant = tenant_key(&client.tenant.id);
                demands.push(Demand { tenant, spent: 0, silent: 0, rate });
            }
        }
        if demands.is_empty() && !self.is_active(number) {
            return;
        }
        let host = &self.hosts[number];
        let (key, age) = (host.key, now.duration_since(host.started));
        for other in 0..self.hosts.len() {
            let is_live = self.hosts[number].heard[other]
                .is_some_and(|it| now.duration_since(it) < LIVE_TIME);
            let is_active = self.is_active(other);
            let quotas = &self.hosts[number].quotas;
            if is_live && quotas.is_receiver(now, self.hosts[other].key, is_active) {
                let demands = demands.clone();
                self.send(number, other, Content::Report { key, age, serial, demands });
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, content: Content) {
        let is_connected = self.hosts[from].group == self.hosts[to].group;
        if !is_connected || self.hosts[to].is_dead || self.rng.f64() < self.loss {
            return;
        }
        self.datagrams += 1;
        let at = self.now + self.delay.mul_f64(self.rng.f64());
        self.network.insert((at, self.datagrams), Datagram { from, to, content });
    }

    fn send_requests(&mut self) {
        let now = self.now;
        for tenant in 0..self.clients.len() {
            let mean = self.clients[tenant].usual_per_s * self.load.factor * STEP.as_secs_f64();
            for _ in 0..poisson(&mut self.rng, mean) {
                let callers = match self.spread {
                    Spread::Even => 0,
                    Spread::Sticky => 5,
                    Spread::One => 1,
                };
                let any = self.used[self.rng.usize(..self.used.len())];
                let number = if callers == 0 {
                    any
                } else {
                    let client = &mut self.clients[tenant];
                    client.callers.resize(callers, (any, now));
                    let caller = self.rng.usize(..callers);
                    if client.callers[caller].1 <= now {
                        let time = Duration::from_millis(self.rng.u64(2_000..6_000));
                        client.callers[caller] = (any, now + time);
                    }
                    client.callers[caller].0
                };
                if self.hosts[number].is_dead {
                    // The caller finds another one.
                    let live: Vec<_> =
                        self.used.iter().filter(|it| !self.hosts[**it].is_dead).copied().collect();
                    if let Some(it) = self.rng.choice(live) {
                        self.clients[tenant].callers.iter_mut().for_each(|caller| {
                            caller.0 = if caller.0 == number { it } else { caller.0 };
                        });
                        self.arrive(it, tenant);
                    }
                } else {
                    self.arrive(number, tenant);
                }
            }
        }
    }

    fn arrive(&mut self, number: usize, tenant: usize) {
        if self.runs(number) {
            self.take(number, tenant);
        } else {
            self.hosts[number].backlog.push(tenant);
        }
    }

    fn take(&mut self, number: usize, tenant: usize) {
        let now = self.now;
        let is_admitted = match self.policy {
            Policy::Quotas => {
                let Self { hosts, clients, .. } = self;
                let res = hosts[number].quotas.take(now, &clients[tenant].tenant);
                if let Err(it) = res {
                    assert!((50..=2_000).contains(&it.as_millis()), "Retry-After {it:?}");
                }
                res.is_ok()
            }
            _ => self.take_alternative(number, tenant),
        };
        let client = &mut self.clients[tenant];
        let is_old = |it: &Instant| now.duration_since(*it) >= WINDOW;
        while client.admitted.front().is_some_and(is_old) {
            client.admitted.pop_front();
        }
        let terms = Terms::default();
        let Tenant { rate_per_s, burst, .. } = client.tenant;
        if is_admitted {
            client.admitted.push_back(now);
            client.results.admitted += 1;
            let share = client.admitted.len() as f64 / terms.limit(rate_per_s, burst);
            client.results.worst = client.results.worst.max(share);
        } else {
            client.results.refused += 1;
            let is_below = (client.admitted.len() as f64) < terms.quota(rate_per_s, burst);
            client.results.refused_below += u32::from(is_below);
        }
    }

    fn take_alternative(&mut self, number: usize, tenant: usize) -> bool {
        let now = self.now;
        let Self { hosts, clients, used, policy, .. } = self;
        let count = hosts.len() as f64;
        let host = &mut hosts[number];
        let Tenant { rate_per_s, .. } = clients[tenant].tenant;
        let budget = budget(&clients[tenant].tenant);
        host.rates[tenant].add(now);
        let tokens = &mut host.tokens[tenant];
        let elapsed = now.duration_since(tokens.refilled_at).as_secs_f64();
        tokens.refilled_at = now;
        let burst = budget - rate_per_s * WINDOW.as_secs_f64();
        match policy {
            Policy::EqualParts | Policy::PartsByUse => {
                let own = f64::from(host.sent_rates[tenant][0].min(host.sent_rates[tenant][1]));
                let is_fresh = |it: &&(Instant, [u32; 2])| now.duration_since(it.0) < WINDOW * 2;
                let others: u32 = host
                    .known_rates
                    .range((tenant, 0)..(tenant + 1, 0))
                    .map(|it| it.1)
                    .filter(is_fresh)
                    .map(|it| it.1[0].max(it.1[1]))
                    .sum();
                let all = own + f64::from(others);
                let share = if *policy == Policy::EqualParts || all < 0.5 {
                    1.0 / count
                } else {
                    0.05 / count + 0.95 * own / all
                };
                let limit = burst * share;
                tokens.available =
                    (tokens.available + elapsed * rate_per_s * share).min(limit.max(1.0));
            }
            _ => {
                if *policy == Policy::MinimumAndLeases {
                    let rate = burst / 2.0 / WINDOW.as_secs_f64() / count;
                    tokens.minimum = (tokens.minimum + elapsed * rate).min(1.0);
                }
                if tokens.expire_at <= now {
                    tokens.available = 0.0;
                }
                let wanted = (f64::from(host.rates[tenant].total(now)) * 0.5).ceil().max(1.0);
                let may_ask = tokens.asked_at.is_none_or(|it| now.duration_since(it) >= TICK);
                if tokens.available - 1.0 < wanted / 2.0 && may_ask {
                    tokens.asked_at = Some(now);
                    let owner = used[tenant % used.len()];
                    self.send(number, owner, Content::Ask { tenant, count: wanted });
                }
            }
        }
        let tokens = &mut self.hosts[number].tokens[tenant];
        for it in [&mut tokens.available, &mut tokens.minimum] {
            if *it >= 1.0 {
                *it -= 1.0;
                return true;
            }
        }
        false
    }
}

/// Requests in a window that the alternatives aim at: the quota and half of the margin.
fn budget(tenant: &Tenant) -> f64 {
    let terms = Terms::default();
    let quota = terms.quota(tenant.rate_per_s, tenant.burst);
    f64::midpoint(quota, terms.limit(tenant.rate_per_s, tenant.burst))
}

fn poisson(rng: &mut fastrand::Rng, mean: f64) -> u32 {
    let threshold = (-mean).exp();
    let (mut res, mut product) = (0, rng.f64());
    while product > threshold {
        res += 1;
        product *= rng.f64();
    }
    res
}

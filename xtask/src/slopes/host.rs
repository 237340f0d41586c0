//! A host of the measured fleet: the membership, peer server and peer client of a daemon without
//! its other parts.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use member::{Exchange, Heartbeat, Identity, Load, Phase, Table};
use peer::{Client, Handler, Server};
use tokio::{runtime::Handle, task::JoinHandle};

use super::{
    Result,
    fixture::TARGET,
    meter::{Meter, Reserved},
};

/// Secret of the measured fleet.
const TOKEN: &str = "token of the measured fleet";
/// Interval of the membership's timer, as in the daemon.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of failure domains.
const DOMAINS: usize = 11;

/// A host of the measured fleet. Dropping it stops it.
pub(super) struct Host {
    state: Arc<State>,
    meter: Meter,
    _server: Server,
    task: JoinHandle<()>,
}

struct State {
    table: Mutex<Table>,
    client: Client,
    heartbeats: AtomicU64,
}

/// The runtimes of the hosts and of their meters.
pub(super) struct Runtimes<'a> {
    pub(super) hosts: &'a Handle,
    pub(super) meters: &'a Handle,
}

impl Host {
    /// Starts the host `number` with the addresses of its first peers.
    pub(super) fn start(
        runtimes: &Runtimes<'_>,
        number: usize,
        seeds: &[SocketAddr],
        seed: u64,
    ) -> Result<Self> {
        let socket = TcpListener::bind("127.0.0.1:0")?;
        socket.set_nonblocking(true)?;
        let server_address = socket.local_addr()?;
        let reserved = Reserved::new()?;
        let mut rng = fastrand::Rng::with_seed(seed.wrapping_add(number as u64));
        let identity = Identity {
            address: reserved.address(),
            entry: server_address,
            admin: server_address,
            domain: format!("domain-{}", number % DOMAINS).into(),
            incarnation: rng.u64(1 << 63..),
        };
        let now = Instant::now();
        let mut table = Table::new(identity, seeds, member::Settings::default(), rng, now);
        table.set_phase(Phase::Ready, now);
        table.set_version(1);

        let client = Client::new(TOKEN.into(), peer::Settings::default());
        let state =
            Arc::new(State { table: Mutex::new(table), client, heartbeats: AtomicU64::new(0) });
        let settings = peer::Settings::default();
        let server =
            Server::start(runtimes.hosts, socket, TOKEN.into(), settings, Arc::clone(&state))?;
        let meter = reserved.start(runtimes.meters, server_address);
        let task = runtimes.hosts.spawn(run(Arc::clone(&state)));
        Ok(Self { state, meter, _server: server, task })
    }

    /// Address for peers, which is that of the meter.
    pub(super) fn address(&self) -> SocketAddr {
        self.meter.address()
    }

    /// Number of hosts in this host's member table, including itself.
    pub(super) fn known(&self) -> usize {
        self.state.table().members().count() + 1
    }

    /// Longest time since the last recorded heartbeat of any member.
    pub(super) fn max_heartbeat_age(&self) -> Duration {
        let now = Instant::now();
        self.state.table().members().map(|it| it.heartbeat_age(now)).max().unwrap_or_default()
    }

    /// Number of heartbeats answered so far.
    pub(super) fn heartbeats(&self) -> u64 {
        self.state.heartbeats.load(Ordering::Relaxed)
    }

    /// Bytes of the heartbeats answered so far and of their answers.
    pub(super) fn bytes(&self) -> u64 {
        self.meter.bytes()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl State {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn exchange(&self, heartbeat: Heartbeat) {
        let answer = self.client.heartbeat(heartbeat.to, &heartbeat.exchange).await;
        let mut table = self.table();
        let is_accepted =
            answer.is_ok_and(|it| table.answered(heartbeat.to, it, Instant::now()).is_ok());
        if !is_accepted {
            table.unanswered(heartbeat.to);
        }
    }
}

impl Handler for State {
    type Order = ();
    type Outcome = ();

    fn heartbeat(&self, exchange: &Exchange) -> member::Result<Exchange> {
        self.heartbeats.fetch_add(1, Ordering::Relaxed);
        self.table().receive(exchange, Instant::now())
    }

    fn configuration(&self, _newer_than: u64) -> Option<Bytes> {
        None
    }

    async fn forward(&self, (): ()) {}
}

async fn run(state: Arc<State>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    loop {
        interval.tick().await;
        let due = {
            let mut table = state.table();
            table.set_loads(loads());
            table.tick(Instant::now())
        };
        for it in due {
            let state = Arc::clone(&state);
            tokio::spawn(async move { state.exchange(it).await });
        }
    }
}

fn loads() -> Vec<Load> {
    let services = 0..u16::try_from(TARGET.services).unwrap_or(u16::MAX);
    services.map(|service| Load { service, in_flight: u32::from(service), queued: 2 }).collect()
}

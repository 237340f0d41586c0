//! A running daemon: its sockets, its tasks, its planned stop.

use std::{
    io,
    path::{Path, PathBuf},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use clock::Clock;
use tokio::{runtime::Runtime, task::LocalSet};

use crate::{
    Settings,
    caller::{Port, listen},
    follow,
    gateway::Gateway,
    logs,
    mesh::Mesh,
    peer::Phase,
    platform::Platform,
    probe, rpc,
    start::{Order, Signals, Start},
    stop,
    supervisor::supervise,
};

/// Interval of periodic work: queue deadlines, decays, clock comparison.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which idle connections to upstreams are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the memory of the process is measured.
const MEMORY_INTERVAL: Duration = Duration::from_millis(100);
/// Difference between the advance of two clocks from which the host is assumed to have been
/// suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(250);
/// Delay of the periodic work from which the process is assumed not to have run. Work in progress
/// delays it by some tens of milliseconds on a slow host.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);
/// Interval at which a leaving daemon checks whether it may stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the settings file is checked for changes without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be bound, or the runtime or a signal handler can't be set up.
    #[error("{what}: {source}")]
    Io {
        /// What failed.
        what: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// A value, or why a daemon could not start.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Runs a daemon until it receives a signal to stop.
///
/// # Errors
///
/// Fails if an address can't be bound, or the runtime or a signal handler can't be set up.
pub fn run<P: Platform>(settings: Settings, path: &Path, platform: P) -> Result<()> {
    Start::new()?.run(settings, path, platform)
}

/// Serves on `runtime` until a signal to stop arrives.
pub(crate) fn serve<P: Platform>(
    runtime: &Runtime,
    signals: Signals,
    settings: Settings,
    path: &Path,
    platform: P,
) -> Result<()> {
    let process = Process::start(settings, path.to_owned(), platform, signals);
    LocalSet::new().block_on(runtime, process)
}

struct Process<P> {
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    mesh: Rc<Mesh>,
    path: PathBuf,
    text: String,
}

impl<P: Platform> Process<P> {
    async fn start(settings: Settings, path: PathBuf, platform: P, signals: Signals) -> Result<()> {
        let clock: Arc<dyn Clock> = Arc::new(clock::System);
        let seed = fastrand::u64(1..);
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        log::info!(
            target: "belief",
            "event=start version={} host={} domain={} callers={} peers={} store={} \
             link_mbps={} cpu_cores={}",
            env!("CARGO_PKG_VERSION"), settings.host, settings.domain, settings.caller_address,
            settings.peer_address, settings.store_address, settings.link_mbps, settings.cpu_cores,
        );
        let addresses = [
            (Port::Callers, settings.caller_address),
            (Port::Ready, settings.ready_address),
            (Port::Directory, settings.directory_address),
            (Port::Metrics, settings.metrics_address),
        ];
        log_replaced(&settings);
        let peer_address = settings.peer_address;
        let gateway = Gateway::new(settings, clock, platform.protocol(), seed);
        let io = |what| move |source| Error::Io { what, source };
        let shared = rpc::Shared::default();
        let _server = rpc::serve(shared.clone(), peer_address)
            .map_err(io("cannot bind the peer address for calls"))?;
        let mesh = Mesh::bind(Rc::clone(&gateway))
            .await
            .map_err(io("cannot bind the peer address for datagrams"))?;
        for (port, address) in addresses {
            listen(&gateway, port, address).map_err(io("cannot bind a listening address"))?;
        }
        let process = Self { gateway, platform: Rc::new(platform), mesh, path, text };
        process.spawn(shared);
        process.serve(signals).await;
        Ok(())
    }

    fn spawn(&self, shared: rpc::Shared) {
        let Self { gateway, platform, mesh, .. } = self;
        let tasks = Tasks { gateway: Rc::clone(gateway), mesh: Rc::clone(mesh) };
        tasks.spawn("datagrams", |_, mesh| mesh.receive());
        tasks.spawn("heartbeats", |_, mesh| mesh.send_heartbeats());
        tasks.spawn("loads", |_, mesh| mesh.send_loads());
        tasks.spawn("departures", |_, mesh| mesh.send_departures());
        tasks.spawn("demands", |_, mesh| mesh.send_demands());
        tasks.spawn("confirmations", |_, mesh| mesh.confirm_config());
        tasks.spawn("temperatures", |_, mesh| mesh.send_temperatures());
        tasks.spawn("temperature-checks", |gateway, _| probe::watch_temperatures(gateway));
        tasks.spawn("tick", |gateway, _| tick(gateway));
        tasks.spawn("probes", |gateway, _| probe::watch(gateway));
        let store = Rc::clone(platform);
        tasks.spawn("hosts", move |gateway, _| follow::discover(gateway, Rc::clone(&store)));
        let (store, content) = (Rc::clone(platform), shared.clone());
        tasks.spawn("configuration", move |gateway, _| {
            follow::Configuration::new(gateway, Rc::clone(&store), content.clone()).run()
        });
        let store = Rc::clone(platform);
        tasks.spawn("upstreams", move |gateway, mesh| {
            follow::Upstreams::new(gateway, Rc::clone(&store), mesh, shared.clone()).run()
        });
    }

    async fn serve(mut self, mut signals: Signals) {
        let reason = loop {
            tokio::select! {
                it = signals.next() => match it {
                    Order::Stop(reason) => break reason,
                    Order::Reload => self.reload("signal"),
                },
                () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => self.reload("file"),
            }
        };
        self.stop(reason).await;
    }

    /// Reloads the settings, but for those that hold until the daemon is restarted.
    fn reload(&mut self, cause: &str) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(it) => it,
            Err(e) => {
                log::warn!(target: "belief", "event=reload-failed cause={cause} error=\"{e}\"");
                return;
            }
        };
        if text == self.text {
            if cause == "signal" {
                log::info!(target: "belief", "event=reload cause={cause} changed=no");
            }
            return;
        }
        match Settings::parse(&text) {
            Ok(it) => {
                log::info!(target: "belief", "event=reload cause={cause} changed=yes");
                log_replaced(&it);
                self.platform.set_store_address(it.store_address);
                for field in self.gateway.reload(it) {
                    log::warn!(target: "belief", "event=setting-needs-restart field={field}");
                }
            }
            Err(findings) => {
                let findings: Vec<_> = findings.iter().map(ToString::to_string).collect();
                let findings = findings.join("; ");
                log::error!(
                    target: "belief",
                    "event=reload-rejected cause={cause} findings=\"{findings}\""
                );
            }
        }
        self.text = text;
    }

    /// Stops as planned: leaves the directory and deregisters, serves the requests in progress and
    /// those that still arrive and can be answered in time, closes the callers' port, and ends once
    /// every answer is sent.
    async fn stop(mut self, reason: &str) {
        let started = self.gateway.now();
        // The grace period may have changed since the settings were last read.
        self.reload("stop");
        let gateway = &self.gateway;
        let schedule = stop::Schedule::new(started, gateway.settings().grace);
        gateway.phase.set(Phase::Leaving);
        gateway.stop.begin(schedule);
        log::info!(target: "belief", "event=stopping reason={reason} in_work={}", gateway.in_progress.get());
        self.mesh.broadcast_heartbeat();
        let port_closed_at = schedule.port_closed_at().into();
        // A store that doesn't answer must not hold up the last answers of a short grace period.
        let deregister = follow::deregister(gateway, &*self.platform);
        let _done = tokio::time::timeout_at(port_closed_at, deregister).await;
        tokio::time::sleep_until(port_closed_at).await;
        gateway.callers_closed.notify_one();
        self.wait_idle(schedule.last_answers_at()).await;
        gateway.stop.end_requests();
        self.wait_idle(schedule.ends_at()).await;
        log::info!(target: "belief", "event=stop in_work={}", gateway.in_progress.get());
    }

    /// Waits until nothing is left to be read or sent, at most until `until`.
    async fn wait_idle(&self, until: Instant) {
        let gateway = &self.gateway;
        // An answer that is complete may still be on its way to a caller that reads slowly.
        let is_busy = || {
            !gateway.is_port_closed.get()
                || gateway.in_progress.get() > 0
                || gateway.metrics.connections.get() > 0
        };
        while is_busy() && gateway.now() < until {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
    }
}

fn log_replaced(settings: &Settings) {
    for it in &settings.replaced {
        log::warn!(target: "belief", "event=setting-replaced finding=\"{it}\"");
    }
}

/// Starts the tasks of a daemon.
struct Tasks {
    gateway: Rc<Gateway>,
    mesh: Rc<Mesh>,
}

impl Tasks {
    fn spawn<T: Future<Output = ()> + 'static>(
        &self,
        name: &'static str,
        start: impl Fn(Rc<Gateway>, Rc<Mesh>) -> T + 'static,
    ) {
        let (gateway, mesh) = (Rc::clone(&self.gateway), Rc::clone(&self.mesh));
        let supervised = supervise(Rc::clone(&gateway), name, move || {
            start(Rc::clone(&gateway), Rc::clone(&mesh))
        });
        tokio::task::spawn_local(supervised);
    }
}

/// Runs periodic work until the task is dropped.
async fn tick(gateway: Rc<Gateway>) {
    let mut last_sweep = gateway.now();
    let mut last_measured = gateway.now();
    let mut last_clocks = (gateway.now(), gateway.since_boot());
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let now = gateway.now();
        last_clocks = check_suspension(&gateway, last_clocks, now);
        for it in gateway.dispatchers() {
            it.service.borrow_mut().decay(TICK_INTERVAL);
            it.serve_queue(now);
        }
        gateway.report_temperatures(now);
        if now.duration_since(last_measured) >= MEMORY_INTERVAL {
            last_measured = now;
            set_memory_limit(&gateway);
        }
        if now.duration_since(last_sweep) >= SWEEP_INTERVAL {
            last_sweep = now;
            gateway.pool.sweep(now);
            report_omitted(&gateway);
            let newest = i64::try_from(gateway.newest_config()).unwrap_or(i64::MAX);
            gateway.metrics.newest_config_version.set(newest);
        }
    }
}

/// Sets what may be held for callers to the rest of the process's memory. What isn't counted is the
/// difference between what is resident and what is counted.
fn set_memory_limit(gateway: &Gateway) {
    let account = gateway.memory.account();
    let uncounted = resident_bytes().unwrap_or_default().saturating_sub(account.used() as u64);
    account.set_limit(gateway.settings().caller_memory_bytes(uncounted));
    gateway.metrics.set_memory(account);
}

/// Resident memory of the process, if the operating system tells it.
fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}

/// Detects that the host was suspended, when the monotonic clock stops and the clock since boot does
/// not, or that the process did not run. The configuration may be outdated then and is confirmed, and
/// after a suspension the registry is read again.
fn check_suspension(
    gateway: &Gateway,
    last_clocks: (Instant, Duration),
    now: Instant,
) -> (Instant, Duration) {
    let boot = gateway.since_boot();
    let steady = now.duration_since(last_clocks.0);
    let asleep = boot.saturating_sub(last_clocks.1).saturating_sub(steady);
    if asleep >= SUSPENSION_THRESHOLD {
        log::warn!(target: "belief", "event=was-suspended asleep_ms={}", asleep.as_millis());
        gateway.registry_wanted.notify_one();
        gateway.confirmation_wanted.notify_one();
    } else if steady >= TICK_INTERVAL + STALL_THRESHOLD {
        log::warn!(target: "belief", "event=was-stalled stalled_ms={}", steady.as_millis());
        gateway.metrics.stalls.inc();
        gateway.confirmation_wanted.notify_one();
    }
    (now, boot)
}

fn report_omitted(gateway: &Gateway) {
    let omitted = gateway.log_limiter.borrow_mut().take_omitted();
    if omitted > 0 {
        gateway.metrics.lines_omitted.inc_by(omitted);
        log::info!(target: "request", "event=lines-omitted count={omitted} dropped={}", logs::dropped());
    }
}

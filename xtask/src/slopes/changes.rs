//! Cost of following the configuration: at rest and for each change.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use daemon::{
    Process,
    process::{CALLER_THREAD, CONTROL_THREAD},
};
use fleet::{Fleet, await_condition};
use tokio::runtime::{Builder, Runtime};

use crate::usage;

use super::{
    Options, Result,
    fixture::{self, SLOTS, Size, TARGET},
    meter::{Meter, Reserved},
    peers::ratio,
};

/// Time in which a change must be in force.
pub(super) const IN_FORCE_LIMIT_S: f64 = 17.0;
/// Sizes besides that of the target.
const SMALLER: [Size; 3] = [
    Size { upstreams: 1_800, services: 65 },
    Size { upstreams: 900, services: 33 },
    Size { upstreams: 31, services: 3 },
];
/// Longest time until a daemon that finds no snapshot has written one.
const SNAPSHOT_LIMIT: Duration = Duration::from_mins(1);
/// Longest time until the threads of a stopped daemon have ended.
const END_LIMIT: Duration = Duration::from_secs(10);
/// Changes that are published, one after the other.
const CHANGES: u32 = 12;
/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Names of the daemon's threads.
const THREADS: [&str; 2] = [CALLER_THREAD, CONTROL_THREAD];

/// Cost for one daemon at the target size.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    /// Part of a core without any change, in percent.
    pub(super) idle_cpu_percent: f64,
    /// Bytes to and from log and host list without any change.
    pub(super) idle_bytes_per_s: f64,
    /// Processor time of a change.
    pub(super) cpu_ms_per_change: f64,
    /// Bytes of a change, snapshots aside.
    pub(super) bytes_per_change: f64,
    /// Memory of the daemon and of the stand-ins that serve it.
    pub(super) memory_mib: f64,
    /// Longest time from publication until in force.
    pub(super) in_force_s: f64,
}

/// A daemon whose traffic with the platform is metered.
struct Metered {
    daemon: Process,
    meters: [Meter; 2],
}

/// Prints the cost at all sizes and returns that at the target.
pub(super) fn measure(options: Options) -> Result<Cost> {
    println!("following the log: one whole daemon without peers or calls");
    println!(
        "{:>9} {:>8} {:>10} {:>8} {:>8} {:>13} {:>12} {:>10}",
        "upstreams",
        "services",
        "memory MiB",
        "cpu %",
        "B/s",
        "ms cpu/change",
        "B/change",
        "in force s"
    );
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("slopes-meter")
        .enable_all()
        .build()?;
    // The target comes first: its memory then doesn't hide in what smaller ones have freed.
    let cost = measure_size(TARGET, options, &runtime)?;
    for it in SMALLER {
        measure_size(it, options, &runtime)?;
    }
    runtime.shutdown_background();
    println!();
    Ok(cost)
}

fn measure_size(size: Size, options: Options, runtime: &Runtime) -> Result<Cost> {
    let settings = fleet::Settings { daemons: 0, services: Vec::new(), ..Default::default() };
    let memory_before = usage::memory_mib()?;
    let mut fleet = Fleet::start(settings.clone())?;
    let first = fleet.publish(&fixture::document(size, SLOTS))?;

    let metered = start(&fleet, settings.daemon, runtime)?;
    let daemon = &metered.daemon;
    await_condition(Duration::from_mins(1), "first version", || daemon.version() >= Some(first))?;
    await_condition(SNAPSHOT_LIMIT, "first snapshot", || snapshot_bytes(&fleet) > 0)?;
    thread::sleep(CHANGE_INTERVAL);

    let window = Instant::now();
    let cpu = usage::cpu(&THREADS)?;
    let bytes = metered.bytes();
    thread::sleep(options.window);
    let seconds = window.elapsed().as_secs_f64();
    let idle_cpu_s = (usage::cpu(&THREADS)?.saturating_sub(cpu)).as_secs_f64() / seconds;
    let idle_bytes_per_s = ratio(metered.bytes() - bytes) / seconds;

    let window = Instant::now();
    let cpu = usage::cpu(&THREADS)?;
    let bytes = metered.bytes();
    let snapshots = snapshot_bytes(&fleet);
    let mut in_force_s: f64 = 0.0;
    for number in 1..=CHANGES {
        let document = fixture::document(size, SLOTS + number);
        let started = Instant::now();
        let version = fleet.publish(&document)?;
        await_condition(Duration::from_mins(1), "change", || daemon.version() >= Some(version))?;
        in_force_s = in_force_s.max(started.elapsed().as_secs_f64());
        thread::sleep(CHANGE_INTERVAL.saturating_sub(started.elapsed()));
    }
    let seconds = window.elapsed().as_secs_f64();
    let busy_cpu_s = (usage::cpu(&THREADS)?.saturating_sub(cpu)).as_secs_f64();
    let snapshots = snapshot_bytes(&fleet) - snapshots;
    let busy_bytes = ratio(metered.bytes() - bytes - snapshots);
    let changes = f64::from(CHANGES);
    let cost = Cost {
        idle_cpu_percent: 100.0 * idle_cpu_s,
        idle_bytes_per_s,
        cpu_ms_per_change: 1_000.0 * (busy_cpu_s - idle_cpu_s * seconds).max(0.0) / changes,
        bytes_per_change: (busy_bytes - idle_bytes_per_s * seconds).max(0.0) / changes,
        memory_mib: usage::memory_mib()? - memory_before,
        in_force_s,
    };
    print(size, cost);
    metered.daemon.stop();
    // Processor time is a sum over living threads.
    await_condition(END_LIMIT, "end of the threads", || {
        usage::threads(&THREADS).is_ok_and(|it| it == 0)
    })?;
    Ok(cost)
}

/// Bytes of the snapshots that the daemon has written.
fn snapshot_bytes(fleet: &Fleet) -> u64 {
    fleet.log.records(document::snapshot::STREAM).iter().map(|it| it.len() as u64).sum()
}

fn print(size: Size, cost: Cost) {
    println!(
        "{:>9} {:>8} {:>10.1} {:>8.3} {:>8.0} {:>13.1} {:>12.0} {:>10.2}",
        size.upstreams,
        size.services,
        cost.memory_mib,
        cost.idle_cpu_percent,
        cost.idle_bytes_per_s,
        cost.cpu_ms_per_change,
        cost.bytes_per_change,
        cost.in_force_s
    );
}

fn start(fleet: &Fleet, settings: daemon::Settings, runtime: &Runtime) -> Result<Metered> {
    let meter = |server: SocketAddr| -> Result<Meter> {
        Ok(Reserved::new()?.start(runtime.handle(), server))
    };
    let meters = [meter(fleet.log.address())?, meter(fleet.hosts.address())?];
    let settings = daemon::Settings {
        log_address: meters[0].address(),
        hosts_address: meters[1].address(),
        domain: "domain-0".into(),
        ..settings
    };
    Ok(Metered { daemon: Process::start(settings)?, meters })
}

impl Metered {
    fn bytes(&self) -> u64 {
        self.meters.iter().map(Meter::bytes).sum()
    }
}

//! Measures the cost of the peer protocol for several numbers of hosts.

use std::{
    thread,
    time::{Duration, Instant},
};

use tokio::runtime::{Builder, Runtime};

use crate::usage;

use super::{
    Error, Options, Result,
    host::{Host, Runtimes},
};

/// Sizes of the measured fleets. The first one is the current size in production.
const FLEET_SIZES: [usize; 3] = [6, 24, 96];
/// Name of the threads of the hosts, whose processor time is measured.
const HOST_THREAD: &str = "slopes-node";
/// Name of the threads of the meters.
const METER_THREAD: &str = "slopes-meter";
/// Number of threads of all hosts together.
const HOST_THREADS: usize = 3;
/// Part of the time-out for all hosts to discover each other that is added for each host.
const JOIN_TIMEOUT_PER_HOST: Duration = Duration::from_secs(1);
/// Part of the time-out for all hosts to discover each other that applies to any number of them.
const BASE_JOIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Time until the additional traffic of the simultaneous start has ended.
const SETTLE_TIME: Duration = Duration::from_secs(15);
/// Interval at which the state of the hosts is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Cost of the peer protocol for one host.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    /// Processor time in percent of a core.
    pub(super) cpu_percent: f64,
    /// Traffic sent and received, including HTTP.
    pub(super) bytes_per_s: f64,
    pub(super) memory_mib: f64,
}

/// Prints the cost for all sizes of fleets and returns the cost for the largest.
pub(super) fn measure(options: Options) -> Result<Cost> {
    println!("peers: each host sends the loads of 130 services; bytes include HTTP");
    println!(
        "{:>5} {:>6} {:>11} {:>8} {:>8} {:>11} {:>9}",
        "hosts", "join s", "messages/s", "B/s", "cpu %", "memory MiB", "silence s"
    );
    let mut cost = Cost::default();
    for it in FLEET_SIZES {
        cost = measure_fleet(it, options)?;
    }
    println!();
    Ok(cost)
}

fn measure_fleet(host_count: usize, options: Options) -> Result<Cost> {
    let hosts_runtime = runtime(HOST_THREAD, HOST_THREADS)?;
    let meters_runtime = runtime(METER_THREAD, 1)?;
    let runtimes = Runtimes { hosts: hosts_runtime.handle(), meters: meters_runtime.handle() };

    let memory_before = usage::memory_mib()?;
    let started = Instant::now();
    let mut hosts: Vec<Host> = Vec::with_capacity(host_count);
    for number in 0..host_count {
        let seeds: Vec<_> = hosts.iter().take(2).map(Host::address).collect();
        hosts.push(Host::start(&runtimes, number, &seeds, options.seed)?);
    }
    await_join(&hosts, started)?;
    let join_time = started.elapsed();
    thread::sleep(SETTLE_TIME);

    let heartbeats = sum(&hosts, Host::heartbeats);
    let bytes = sum(&hosts, Host::bytes);
    let cpu = usage::cpu(&[HOST_THREAD])?;
    let window = Instant::now();
    let mut max_heartbeat_age = Duration::ZERO;
    while window.elapsed() < options.window {
        thread::sleep(POLL_INTERVAL);
        max_heartbeat_age =
            hosts.iter().map(Host::max_heartbeat_age).fold(max_heartbeat_age, Duration::max);
    }
    let seconds = window.elapsed().as_secs_f64();
    let cpu = usage::cpu(&[HOST_THREAD])?.saturating_sub(cpu);
    let memory_mib = (usage::memory_mib()? - memory_before) / to_f64(host_count as u64);
    // A heartbeat and its answer are each sent by one host and received by another.
    let per_host = |total: u64| to_f64(total) / to_f64(host_count as u64) / seconds;
    let messages = 4.0 * per_host(sum(&hosts, Host::heartbeats) - heartbeats);
    let bytes_per_s = 2.0 * per_host(sum(&hosts, Host::bytes) - bytes);
    let cpu_percent = 100.0 * cpu.as_secs_f64() / seconds / to_f64(host_count as u64);
    println!(
        "{host_count:>5} {:>6.1} {messages:>11.1} {bytes_per_s:>8.0} {cpu_percent:>8.3} \
         {memory_mib:>11.2} {:>9.1}",
        join_time.as_secs_f64(),
        max_heartbeat_age.as_secs_f64()
    );
    drop(hosts);
    hosts_runtime.shutdown_background();
    meters_runtime.shutdown_background();
    Ok(Cost { cpu_percent, bytes_per_s, memory_mib })
}

fn await_join(all: &[Host], started: Instant) -> Result<()> {
    let hosts = all.len();
    let timeout =
        BASE_JOIN_TIMEOUT + JOIN_TIMEOUT_PER_HOST * u32::try_from(hosts).unwrap_or(u32::MAX);
    loop {
        let known = all.iter().map(Host::known).min().unwrap_or(0);
        if known == hosts {
            return Ok(());
        }
        if started.elapsed() > timeout {
            return Err(Error::Unjoined { known, hosts, after: timeout });
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn runtime(name: &str, threads: usize) -> Result<Runtime> {
    Ok(Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()?)
}

fn sum(hosts: &[Host], figure: impl Fn(&Host) -> u64) -> u64 {
    hosts.iter().map(figure).sum()
}

/// Converts a count, which is far below 2^52 and therefore exact as a floating point number.
#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(super) fn to_f64(count: u64) -> f64 {
    count as f64
}

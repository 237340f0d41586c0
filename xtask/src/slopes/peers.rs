//! Cost of the peers' protocol against the number of hosts.

use std::{
    thread,
    time::{Duration, Instant},
};

use tokio::runtime::{Builder, Runtime};

use crate::usage;

use super::{
    Error, Options, Result,
    node::{Node, Place},
};

/// Sizes of fleets; today's is the first.
const FLEETS: [usize; 3] = [6, 24, 96];
/// Name of the threads that count as the nodes'.
const NODE_THREAD: &str = "slopes-node";
/// Name of the threads that only count bytes.
const METER_THREAD: &str = "slopes-meter";
/// Threads of all nodes together.
const NODE_THREADS: usize = 3;
/// Time for all hosts to find each other, for each host in the fleet.
const JOIN_LIMIT_PER_HOST: Duration = Duration::from_secs(1);
/// Time for all hosts to find each other at least.
const JOIN_LIMIT: Duration = Duration::from_secs(10);
/// Time after which the start of all hosts at once is no news any more.
const SETTLE: Duration = Duration::from_secs(15);
/// Pause between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Cost for one host in the largest fleet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    /// Part of a core, in percent.
    pub(super) cpu_percent: f64,
    /// Bytes sent and received, HTTP included.
    pub(super) bytes_per_s: f64,
    /// Memory.
    pub(super) memory_mib: f64,
}

/// Prints the cost for fleets of all sizes and returns that for the largest.
pub(super) fn measure(options: Options) -> Result<Cost> {
    println!("peers: each host tells the loads of 130 services; bytes are those of HTTP");
    println!(
        "{:>5} {:>6} {:>11} {:>8} {:>8} {:>11} {:>9}",
        "hosts", "join s", "messages/s", "B/s", "cpu %", "memory MiB", "silence s"
    );
    let mut cost = Cost::default();
    for it in FLEETS {
        cost = measure_fleet(it, options)?;
    }
    println!();
    Ok(cost)
}

fn measure_fleet(hosts: usize, options: Options) -> Result<Cost> {
    let nodes_runtime = runtime(NODE_THREAD, NODE_THREADS)?;
    let meters_runtime = runtime(METER_THREAD, 1)?;
    let place = Place { nodes: nodes_runtime.handle(), meters: meters_runtime.handle() };

    let memory_before = usage::memory_mib()?;
    let started = Instant::now();
    let mut nodes: Vec<Node> = Vec::with_capacity(hosts);
    for number in 0..hosts {
        let seeds: Vec<_> = nodes.iter().take(2).map(Node::address).collect();
        nodes.push(Node::start(&place, number, &seeds, options.seed)?);
    }
    await_join(&nodes, started)?;
    let join = started.elapsed();
    thread::sleep(SETTLE);

    let heartbeats = sum(&nodes, Node::heartbeats);
    let bytes = sum(&nodes, Node::bytes);
    let cpu = usage::cpu(&[NODE_THREAD])?;
    let window = Instant::now();
    let mut silence = Duration::ZERO;
    while window.elapsed() < options.window {
        thread::sleep(LOOK_INTERVAL);
        silence = nodes.iter().map(Node::worst_silence).fold(silence, Duration::max);
    }
    let seconds = window.elapsed().as_secs_f64();
    let cpu = usage::cpu(&[NODE_THREAD])?.saturating_sub(cpu);
    let memory_mib = (usage::memory_mib()? - memory_before) / ratio(hosts as u64);
    // A heartbeat and its answer are each sent by one host and received by another.
    let per_host = |total: u64| ratio(total) / ratio(hosts as u64) / seconds;
    let messages = 4.0 * per_host(sum(&nodes, Node::heartbeats) - heartbeats);
    let bytes_per_s = 2.0 * per_host(sum(&nodes, Node::bytes) - bytes);
    let cpu_percent = 100.0 * cpu.as_secs_f64() / seconds / ratio(hosts as u64);
    println!(
        "{hosts:>5} {:>6.1} {messages:>11.1} {bytes_per_s:>8.0} {cpu_percent:>8.3} \
         {memory_mib:>11.2} {:>9.1}",
        join.as_secs_f64(),
        silence.as_secs_f64()
    );
    drop(nodes);
    nodes_runtime.shutdown_background();
    meters_runtime.shutdown_background();
    Ok(Cost { cpu_percent, bytes_per_s, memory_mib })
}

fn await_join(nodes: &[Node], started: Instant) -> Result<()> {
    let hosts = nodes.len();
    let limit = JOIN_LIMIT + JOIN_LIMIT_PER_HOST * u32::try_from(hosts).unwrap_or(u32::MAX);
    loop {
        let known = nodes.iter().map(Node::known).min().unwrap_or(0);
        if known == hosts {
            return Ok(());
        }
        if started.elapsed() > limit {
            return Err(Error::Unjoined { known, hosts, after: limit });
        }
        thread::sleep(LOOK_INTERVAL);
    }
}

fn runtime(name: &str, threads: usize) -> Result<Runtime> {
    Ok(Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()?)
}

fn sum(nodes: &[Node], figure: impl Fn(&Node) -> u64) -> u64 {
    nodes.iter().map(figure).sum()
}

/// Counts stay far below the range in which floating point numbers are exact.
#[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub(super) fn ratio(count: u64) -> f64 {
    count as f64
}

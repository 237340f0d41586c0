//! `cargo xtask slopes`: measures processor time, memory, messages and bytes that a daemon uses apart from calls,
//! as functions of the size of the system. `docs/CAPACITY.md` is based on the tables.

mod changes;
mod configuration;
mod fixture;
mod host;
mod meter;
mod peers;

use std::{process::ExitCode, time::Duration};

/// Budget of a daemon's control plane for processor time, in percent of a core.
const CONTROL_CPU_LIMIT_PERCENT: f64 = 1.3;
/// Budget of a daemon for memory, in MiB.
const MEMORY_LIMIT_MIB: f64 = 256.0;
/// Budget of a daemon for control traffic, sent and received, in bytes per second.
const TRAFFIC_LIMIT_BYTES_PER_S: f64 = 21_000.0;
/// Configuration changes per day at the size that the system is designed for.
const CHANGES_PER_DAY: f64 = 3_300.0;
/// Time between two snapshots. Every daemon may read each snapshot once.
const SNAPSHOT_INTERVAL_S: f64 = 3_600.0;
/// Factor by which a record grows when it is read, because it is encoded in base64.
const SNAPSHOT_READ_FACTOR: f64 = 4.0 / 3.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

const HELP: &str = "\
usage: cargo xtask slopes [--seconds N] [--seed N]

  --seconds N  duration of each measurement (default 15)
  --seed N     seed of the random numbers (default 1)
";

/// Reasons for which a measurement fails.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The arguments are invalid.
    #[error("{0}; see --help")]
    Arguments(#[from] lexopt::Error),
    /// A thread or socket could not be created, or a file in `/proc` could not be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The fleet did not start, or did not apply a change in time.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// A daemon did not start.
    #[error(transparent)]
    Daemon(#[from] daemon::process::Error),
    /// A peer's server did not start.
    #[error(transparent)]
    Peer(#[from] peer::StartError),
    /// The generated document is invalid.
    #[error("the generated document is invalid: {0:?}")]
    Document(Vec<document::Finding>),
    /// The hosts did not all discover each other in time.
    #[error("after {after:?}, a host has only {known} of {hosts} hosts in its member table")]
    Unjoined {
        /// Smallest number of hosts in any host's member table.
        known: usize,
        /// Number of hosts.
        hosts: usize,
        /// Time since the first host started.
        after: Duration,
    },
}

pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Arguments of the command line.
#[derive(Clone, Copy, Debug)]
struct Options {
    window: Duration,
    seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { window: Duration::from_secs(15), seed: 1 }
    }
}

pub(crate) fn run(args: impl Iterator<Item = std::ffi::OsString>) -> ExitCode {
    let options = match parse(lexopt::Parser::from_args(args)) {
        Ok(Some(it)) => it,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    match measure(options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            println!("{e}\nRESULT slopes=failed");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Options>> {
    use lexopt::prelude::*;
    let mut options = Options::default();
    while let Some(it) = parser.next()? {
        match it {
            Long("seconds") => options.window = Duration::from_secs(parser.value()?.parse()?),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(options))
}

/// Prints all tables. Returns whether the sums at the target size are within the budget.
fn measure(options: Options) -> Result<bool> {
    let changes = changes::measure(options)?;
    let configuration = configuration::measure()?;
    let peers = peers::measure(options)?;

    let changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY;
    // Milliseconds per second, divided by 10, are percent of a core.
    let cpu = peers.cpu_percent
        + changes.idle_cpu_percent
        + changes.cpu_ms_per_change * changes_per_s / 10.0;
    let snapshot_bytes_per_s =
        configuration.snapshot_bytes * SNAPSHOT_READ_FACTOR / SNAPSHOT_INTERVAL_S;
    let bytes = peers.bytes_per_s
        + changes.idle_bytes_per_s
        + changes.bytes_per_change * changes_per_s
        + snapshot_bytes_per_s;
    let memory = changes.memory_mib.max(configuration.memory_mib) + peers.memory_mib;
    let is_within_budget = cpu <= CONTROL_CPU_LIMIT_PERCENT
        && bytes <= TRAFFIC_LIMIT_BYTES_PER_S
        && memory <= MEMORY_LIMIT_MIB
        && changes.in_force_s <= changes::IN_FORCE_LIMIT_S;
    println!(
        "RESULT slopes={} control_cpu_percent={cpu:.2} control_bytes_per_s={bytes:.0} \
         memory_mib={memory:.0} in_force_max_s={:.2}",
        if is_within_budget { "ok" } else { "exceeded" },
        changes.in_force_s,
    );
    Ok(is_within_budget)
}

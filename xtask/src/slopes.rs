//! Measures what a daemon costs besides calls, against the size of the system: processor time,
//! memory, messages and bytes. The tables are the input of `docs/CAPACITY.md`.

mod changes;
mod configuration;
mod fixture;
mod meter;
mod node;
mod peers;

use std::{process::ExitCode, time::Duration};

/// Part of a core that the control of a daemon may use, in percent.
const CONTROL_CPU_LIMIT_PERCENT: f64 = 1.3;
/// Memory of a daemon at most, in MiB.
const MEMORY_LIMIT_MIB: f64 = 256.0;
/// Control traffic of a daemon at most, sent and received, in bytes a second.
const TRAFFIC_LIMIT_BYTES_PER_S: f64 = 21_000.0;
/// Configuration changes a day at the target size.
const CHANGES_PER_DAY: f64 = 3_300.0;
/// Time between two snapshots, each of which every daemon may read once.
const SNAPSHOT_INTERVAL_S: f64 = 3_600.0;
/// Growth of a record when it is read, in base64.
const SNAPSHOT_READ_FACTOR: f64 = 4.0 / 3.0;
/// Seconds of a day.
const DAY_S: f64 = 86_400.0;

const HELP: &str = "\
usage: cargo xtask slopes [--seconds N] [--seed N]

  --seconds N  time over which each figure is taken, 15 by default
  --seed N     seed of the random numbers, 1 by default
";

/// Why a measurement could not be made.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The arguments are wrong.
    #[error("{0}; see --help")]
    Arguments(#[from] lexopt::Error),
    /// Threads, sockets or the kernel's process files could not be had.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The fleet did not start or follow.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// A daemon did not start.
    #[error(transparent)]
    Daemon(#[from] daemon::process::Error),
    /// A peer's server did not start.
    #[error(transparent)]
    Peer(#[from] peer::StartError),
    /// The document of the fixture is wrong.
    #[error("document: {0:?}")]
    Document(Vec<document::Finding>),
    /// The peers did not all find each other.
    #[error("{known} of {hosts} hosts known after {after:?}")]
    Unjoined {
        /// Hosts that the daemon with the fewest knows.
        known: usize,
        /// Hosts in all.
        hosts: usize,
        /// Time since the start.
        after: Duration,
    },
}

/// A figure, or why there is none.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// What the command line asks for.
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

/// Runs the measurement.
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

/// Prints all tables; whether the sums at the target size stay within the budget.
fn measure(options: Options) -> Result<bool> {
    let changes = changes::measure(options)?;
    let configuration = configuration::measure()?;
    let peers = peers::measure(options)?;

    let changes_per_s = CHANGES_PER_DAY / DAY_S;
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
    let holds = cpu <= CONTROL_CPU_LIMIT_PERCENT
        && bytes <= TRAFFIC_LIMIT_BYTES_PER_S
        && memory <= MEMORY_LIMIT_MIB
        && changes.in_force_s <= changes::IN_FORCE_LIMIT_S;
    println!(
        "RESULT slopes={} control_cpu_percent={cpu:.2} control_bytes_per_s={bytes:.0} \
         memory_mib={memory:.0} in_force_max_s={:.2}",
        if holds { "ok" } else { "exceeded" },
        changes.in_force_s,
    );
    Ok(holds)
}

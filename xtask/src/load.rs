//! Measures what the daemon adds to a call: latency and processor time, on loopback.
//!
//! Each figure comes from one process that holds callers, a daemon and backend servers. The same
//! calls go directly to the backend servers and through the daemon; the difference is what the
//! daemon adds. Decision lines are formatted and written to the null device.

mod connection;
mod generator;
mod report;

use std::{process::ExitCode, time::Duration};

use daemon::process::{CALLER_THREAD, CONTROL_THREAD};
use fleet::{Fleet, Service, Settings};
use standin::backend;

use generator::{Generator, Run, Target};
use report::{Report, Round};

use crate::usage;

/// Names of the daemon's threads.
const DAEMON_THREADS: [&str; 2] = [CALLER_THREAD, CONTROL_THREAD];
/// Longest 99th percentile that the daemon may add, in microseconds.
const ADDED_P99_LIMIT_US: f64 = 340.0;
/// Fewest calls a second for each core that the daemon's threads use.
const CALLS_PER_CORE_FLOOR: f64 = 8_000.0;
/// Connections of the callers.
const CONNECTIONS: usize = 32;
/// Duration of the run that finds saturation.
const RUN: Duration = Duration::from_secs(4);
/// Rounds at half of saturation, each direct and through the daemon; the median round counts, so
/// that a pause of the machine in one of them doesn't.
const ROUNDS: usize = 7;
/// Duration of each half of a round.
const HALF_ROUND: Duration = Duration::from_secs(2);
/// Duration of the run that warms connections and code up.
const WARM_UP: Duration = Duration::from_secs(1);

/// Why a measurement could not be made.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The fleet did not start.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// Threads or sockets could not be had.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A connection broke.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// A call failed.
    #[error("call: {0}")]
    Call(String),
    /// The log could not be set up.
    #[error(transparent)]
    Log(#[from] log::SetLoggerError),
}

/// A figure, or why there is none.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Runs the measurement.
pub(crate) fn run() -> ExitCode {
    match measure() {
        Ok(it) => {
            it.print();
            let holds = it.added_p99_us() <= ADDED_P99_LIMIT_US
                && it.calls_per_core() >= CALLS_PER_CORE_FLOOR;
            if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(e) => {
            eprintln!("load: {e}");
            ExitCode::FAILURE
        }
    }
}

fn measure() -> Result<Report> {
    log_to_null_device()?;
    let fleet = Fleet::start(settings())?;
    let backends = fleet.backends.iter().flatten().map(standin::backend::Backend::address);
    let direct = Target { addresses: backends.collect(), paths: paths() };
    let through = Target { addresses: vec![fleet.address(0)], paths: paths() };
    let generator = Generator::new(CONNECTIONS)?;
    generator.closed(&through, WARM_UP)?;
    generator.closed(&direct, WARM_UP)?;
    let closed_direct = generator.closed(&direct, RUN)?;
    let closed_through = generator.closed(&through, RUN)?;
    let rate = closed_through.calls_per_s() / 2.0;
    let mut rounds = Vec::new();
    for _round in 0..ROUNDS {
        let direct = generator.open(&direct, rate, HALF_ROUND)?;
        let before = usage::cpu(&DAEMON_THREADS)?;
        let through = generator.open(&through, rate, HALF_ROUND)?;
        let spent = usage::cpu(&DAEMON_THREADS)?.saturating_sub(before);
        rounds.push(Round { direct, through, spent });
    }
    Ok(Report { closed_direct, closed_through, rounds })
}

fn paths() -> Vec<String> {
    ["/stock/1", "/booking/1", "/documents/1"].map(str::to_owned).to_vec()
}

fn settings() -> Settings {
    let backend = backend::Settings {
        slots: 64,
        service_time: Duration::ZERO,
        ..backend::Settings::default()
    };
    let services = Service::one_per_rank(backend);
    let mut settings = Settings { services, ..Settings::default() };
    settings.daemon.log_decisions = true;
    settings
}

fn log_to_null_device() -> Result<()> {
    let null = std::fs::OpenOptions::new().write(true).open("/dev/null")?;
    daemon::logs::dispatch(log::LevelFilter::Info).chain(null).apply()?;
    Ok(())
}

//! `cargo xtask load`: measures the latency and processor time that the daemon adds to a call, on loopback.
//!
//! Callers, a daemon and backend servers run in one process. The same calls are sent directly to
//! the backend servers and through the daemon, and the results are compared. Decision lines are
//! formatted and written to the null device.

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
/// Maximum latency that the daemon may add at the 99th percentile, in microseconds.
const MAX_ADDED_P99_US: f64 = 340.0;
/// Minimum calls per second for each core that the daemon's threads use.
const MIN_CALLS_PER_CORE: f64 = 8_000.0;
/// Number of connections of the callers.
const CONNECTIONS: usize = 32;
/// Duration of the runs that measure the rate at saturation.
const SATURATION_DURATION: Duration = Duration::from_secs(4);
/// Number of rounds at half of the saturation rate. The median over the rounds counts, so that a
/// pause of the machine during one of them has no effect.
const ROUNDS: usize = 7;
/// Duration of each half of a round: direct, and through the daemon.
const HALF_ROUND_DURATION: Duration = Duration::from_secs(2);
/// Duration of the runs that warm up connections and code.
const WARM_UP_DURATION: Duration = Duration::from_secs(1);

/// Reasons for which a measurement fails.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The fleet could not be started.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// A thread or socket could not be created.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A connection broke.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// A call failed.
    #[error("a call failed: {0}")]
    Call(String),
    /// The logger could not be installed.
    #[error(transparent)]
    Log(#[from] log::SetLoggerError),
}

pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

pub(crate) fn run() -> ExitCode {
    match measure() {
        Ok(it) => {
            it.print();
            let is_ok =
                it.added_p99_us() <= MAX_ADDED_P99_US && it.calls_per_core() >= MIN_CALLS_PER_CORE;
            if is_ok { ExitCode::SUCCESS } else { ExitCode::FAILURE }
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
    generator.closed(&through, WARM_UP_DURATION)?;
    generator.closed(&direct, WARM_UP_DURATION)?;
    let closed_direct = generator.closed(&direct, SATURATION_DURATION)?;
    let closed_through = generator.closed(&through, SATURATION_DURATION)?;
    let rate = closed_through.calls_per_s() / 2.0;
    let mut rounds = Vec::new();
    for _round in 0..ROUNDS {
        let direct = generator.open(&direct, rate, HALF_ROUND_DURATION)?;
        let before = usage::cpu(&DAEMON_THREADS)?;
        let through = generator.open(&through, rate, HALF_ROUND_DURATION)?;
        let cpu_time = usage::cpu(&DAEMON_THREADS)?.saturating_sub(before);
        rounds.push(Round { direct, through, cpu_time });
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

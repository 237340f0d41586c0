//! `cargo xtask config`: simulates editors and daemons on a virtual clock, with faults of the log.
//!
//! Editors use [`cli::Submission`] like the command line, and hosts use the daemon's replica and its
//! scheduling of snapshots. Only the log, the clock and the network are simulated. Results are
//! compared with a reference: the fold of all records that the log has ever held.

mod content;
mod editor;
mod host;
mod log;
mod options;
mod reference;
mod simulation;
mod size;
mod stats;

use std::{ffi::OsString, process::ExitCode, time::Instant};

use options::Options;
use simulation::Simulation;
use stats::Stats;

pub(crate) fn run(args: impl Iterator<Item = OsString>) -> ExitCode {
    let options = match Options::parse(args) {
        Ok(Some(it)) => it,
        Ok(None) => {
            println!("{}", options::HELP);
            return ExitCode::SUCCESS;
        }
        Err(err) => {
            eprintln!("{err}\n{}", options::HELP);
            return ExitCode::from(2);
        }
    };
    if options.size {
        return size::run(options.seed);
    }
    let started = Instant::now();
    let mut total = Stats::default();
    for seed in options.seed..options.seed + options.seeds {
        let stats = Simulation::new(seed, &options).run();
        if stats.violations(options.in_force_limit()) > 0 || options.seeds <= MAX_ROWS {
            println!("{}", stats.row(seed));
        }
        total.add(&stats);
    }
    println!("{} runs in {:.1} s", options.seeds, started.elapsed().as_secs_f64());
    println!("{}", total.result());
    if total.violations(options.in_force_limit()) == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Maximum number of runs for which every row is printed. With more runs, only rows with a
/// violation are.
const MAX_ROWS: u64 = 20;

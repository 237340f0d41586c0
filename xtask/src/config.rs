//! `cargo xtask config`: editors and daemons on a virtual clock, with faults of the log.
//!
//! Editors use the command line's own [`cli::Submission`], hosts the daemon's replica and snapshot duty.
//! Only the log, the clock and the network between them are simulated. A fold of all records that the
//! log ever held is the truth with which everything is compared.

mod content;
mod editor;
mod host;
mod options;
mod size;
mod store;
mod tally;
mod truth;
mod world;

use std::{ffi::OsString, process::ExitCode, time::Instant};

use options::Options;
use tally::Tally;
use world::World;

/// Runs the command with its arguments.
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
    let mut total = Tally::default();
    for seed in options.seed..options.seed + options.seeds {
        let tally = World::new(seed, &options).run();
        if tally.violations(options.bound()) > 0 || options.seeds <= MAX_ROWS {
            println!("{}", tally.row(seed));
        }
        total.add(&tally);
    }
    println!("{} runs in {:.1} s", options.seeds, started.elapsed().as_secs_f64());
    println!("{}", total.result());
    if total.violations(options.bound()) == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs up to which each prints its row, also without a violation.
const MAX_ROWS: u64 = 20;

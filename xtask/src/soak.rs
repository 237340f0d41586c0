//! `cargo xtask soak`: runs the randomized soak test.

use std::{ffi::OsString, path::PathBuf, process::ExitCode, time::Duration};

use ::soak::Options;
use lexopt::{Arg, Parser, ValueExt};

const HELP: &str = "\
usage: cargo xtask soak [OPTIONS]      (after cargo build --release --package daemon)
  --seed N      seed of the first run (default 1)
  --seeds N     number of runs, each with the next seed (default 1)
  --seconds N   duration of the faults in each run (default 20)
  --daemons N   number of daemons, 2 to 200 (default 3)
  --callers N   number of callers (default 6)
  --only-stops  only planned stops, in turn and overlapping";

pub(crate) fn run(args: impl Iterator<Item = OsString>) -> ExitCode {
    match parse(args) {
        Ok(Some((options, seeds))) => run_seeds(&options, seeds),
        Ok(None) => {
            println!("{HELP}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}\n{HELP}");
            ExitCode::from(2)
        }
    }
}

fn parse(args: impl Iterator<Item = OsString>) -> Result<Option<(Options, u64)>, lexopt::Error> {
    let mut options = Options { daemon: daemon(), ..Options::default() };
    let mut seeds = 1;
    let mut parser = Parser::from_args(args);
    while let Some(it) = parser.next()? {
        match it {
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("seeds") => seeds = parser.value()?.parse()?,
            Arg::Long("seconds") => {
                options.length = Duration::from_secs(parser.value()?.parse()?);
            }
            Arg::Long("daemons") => {
                let it: u8 = parser.value()?.parse()?;
                options.daemons = it.clamp(2, 200);
            }
            Arg::Long("callers") => options.callers = parser.value()?.parse()?,
            Arg::Long("only-stops") => options.only_stops = true,
            Arg::Long("help") => return Ok(None),
            it => return Err(it.unexpected()),
        }
    }
    Ok(Some((options, seeds)))
}

/// Path of the daemon's program, which is built into the same folder as this program.
fn daemon() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("fireflydrumd")
}

fn run_seeds(options: &Options, seeds: u64) -> ExitCode {
    let mut findings = 0;
    for seed in options.seed..options.seed + seeds {
        let folder = options.folder.join(format!("seed-{seed}"));
        let mut options = Options { seed, folder, ..options.clone() };
        if options.only_stops {
            options = options.with_grace_of_seed();
        }
        match ::soak::run(&options) {
            Ok(it) => {
                findings += it.findings.len();
                println!("{it}");
            }
            Err(e) => {
                println!("RESULT soak=failed seed={seed} error=\"{e}\"");
                return ExitCode::FAILURE;
            }
        }
    }
    println!("RESULT soak={} seeds={seeds} findings={findings}", verdict(findings));
    if findings == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn verdict(findings: usize) -> &'static str {
    if findings == 0 { "ok" } else { "broken" }
}

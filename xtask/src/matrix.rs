//! Plays every fault at every step, alone, in pairs and twice, and checks all promises in each cell.

mod author;
mod backend;
mod caller;
mod cell;
mod fault;
mod guard;
mod host;
mod ledger;
mod log;
mod message;
mod net;
mod promise;
mod step;
mod world;

use std::{
    ffi::OsString,
    process::ExitCode,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

use lexopt::prelude::*;

use self::{
    cell::Cell,
    guard::{GUARDS, Guard},
    promise::{PROMISES, Verdict},
};

const HELP: &str = "\
usage: cargo xtask matrix [--alone | --brief] [--seed N] [--only TEXT] [--without GUARD] [--threads N] [--verbose]

  --alone          every fault alone at every step
  --brief          the same, and a part of the pairs
  --seed N         seed of the random numbers; 1 if not given
  --only TEXT      cells whose name holds TEXT
  --without GUARD  removes a guard; the command must then fail
  --guards         lists the guards
  --verbose        a line for each cell
";
/// Of the pairs, a brief run plays one in this many.
const BRIEF_SHARE: usize = 40;
/// Violations that are printed at most.
const PRINTED: usize = 40;

/// How much is played.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Part {
    Alone,
    Brief,
    Whole,
}

struct Options {
    part: Part,
    seed: u64,
    only: String,
    off: Option<Guard>,
    threads: usize,
    is_verbose: bool,
}

/// Runs the matrix.
pub(crate) fn run(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    match parse(arguments) {
        Ok(Some(options)) => play(&options),
        Ok(None) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cargo xtask matrix: {e}\n{HELP}");
            ExitCode::from(2)
        }
    }
}

fn parse(arguments: impl Iterator<Item = OsString>) -> Result<Option<Options>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut options = Options {
        part: Part::Whole,
        seed: 1,
        only: String::new(),
        off: None,
        threads: 4,
        is_verbose: false,
    };
    while let Some(it) = parser.next()? {
        match it {
            Long("alone") => options.part = Part::Alone,
            Long("brief") => options.part = Part::Brief,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("only") => options.only = parser.value()?.string()?,
            Long("threads") => options.threads = parser.value()?.parse()?,
            Long("verbose") => options.is_verbose = true,
            Long("without") => {
                let name = parser.value()?.string()?;
                let guard = Guard::parse(&name).ok_or_else(|| format!("no guard `{name}`"))?;
                options.off = Some(guard);
            }
            Long("guards") => {
                for (_, name) in GUARDS {
                    println!("{name}");
                }
                return Ok(None);
            }
            Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            it => return Err(it.unexpected()),
        }
    }
    Ok(Some(options))
}

fn play(options: &Options) -> ExitCode {
    let is_wanted = |it: &Cell| it.name().contains(&options.only);
    let singles: Vec<Cell> = cell::singles(options.seed).into_iter().filter(is_wanted).collect();
    let pairs = cell::pairs(options.seed).into_iter().filter(is_wanted);
    let pairs: Vec<Cell> = match options.part {
        Part::Alone => Vec::new(),
        Part::Brief => pairs.step_by(BRIEF_SHARE).collect(),
        Part::Whole => pairs.collect(),
    };
    let all: Vec<Cell> = singles.iter().chain(&pairs).copied().collect();
    let verdicts = play_all(&all, options);
    report(&verdicts, options);
    let violations: usize = verdicts.iter().map(|(_, it)| it.violations.len()).sum();
    let unexercised = verdicts.iter().filter(|(_, it)| !it.is_exercised()).count();
    println!(
        "RESULT cells={} pairs={} real=0 violations={violations} unexercised={unexercised}",
        singles.len(),
        pairs.len()
    );
    let is_good = violations == 0 && unexercised == 0 && !all.is_empty();
    if is_good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn play_all(cells: &[Cell], options: &Options) -> Vec<(Cell, Verdict)> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut res = Vec::new();
        while let Some(&cell) = cells.get(next.fetch_add(1, Ordering::Relaxed)) {
            res.push((cell, world::play(cell, options.off)));
        }
        res
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..options.threads.max(1)).map(|_| scope.spawn(work)).collect();
        let parts = threads.into_iter().map(|it| it.join().expect("a cell panicked"));
        let mut res: Vec<_> = parts.flatten().collect();
        res.sort_by_key(|(it, _)| (it.step, it.first, it.second));
        res
    })
}

fn report(verdicts: &[(Cell, Verdict)], options: &Options) {
    let broken =
        verdicts.iter().flat_map(|(cell, it)| it.violations.iter().map(move |v| (cell, v)));
    for (cell, violation) in broken.take(PRINTED) {
        let promise = PROMISES[violation.promise.index()].1;
        println!("VIOLATION {promise} in {}: {}", cell.name(), violation.what);
    }
    for (cell, _) in verdicts.iter().filter(|(_, it)| !it.is_exercised()).take(PRINTED) {
        println!("UNEXERCISED {}", cell.name());
    }
    if options.is_verbose {
        for (cell, verdict) in verdicts {
            println!("{}: {}", cell.name(), exercised(verdict));
        }
    }
    let red = verdicts.iter().filter(|(_, it)| !it.violations.is_empty()).count();
    println!("cells with a violation: {red} of {}", verdicts.len());
    println!("promise: cells that exercised it, of {}", verdicts.len());
    for (promise, name) in PROMISES {
        let cells = verdicts.iter().filter(|(_, it)| it.exercised[promise.index()] > 0).count();
        println!("  {name}: {cells}");
    }
}

fn exercised(verdict: &Verdict) -> String {
    let names = PROMISES.iter().filter(|(it, _)| verdict.exercised[it.index()] > 0);
    names.map(|(_, name)| *name).collect::<Vec<_>>().join(" ")
}

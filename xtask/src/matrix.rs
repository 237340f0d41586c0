//! `cargo xtask matrix`: injects every fault at every step, alone, in pairs and twice, and checks all promises.

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
mod network;
mod promise;
mod real;
mod simulation;
mod step;

use std::{
    ffi::OsString,
    process::ExitCode,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

use lexopt::prelude::*;

use self::{
    cell::Cell,
    fault::Fault,
    guard::{GUARDS, Guard},
    promise::{PROMISES, Verdict},
};

const HELP: &str = "\
usage: cargo xtask matrix [--alone | --brief] [--seed N] [--only TEXT] [--without GUARD] [--threads N] [--real] [--verbose]

  --alone          only cells with a single fault
  --brief          cells with a single fault, and a part of the pairs
  --seed N         seed of the random numbers (default 1)
  --only TEXT      only cells whose name contains TEXT
  --without GUARD  disables a guard; the command must then fail
  --guards         lists the guards
  --real           includes cells with real daemons on loopback, as a full run does
  --verbose        prints a line for each cell
";
/// A brief run includes one in this many pairs.
const BRIEF_STEP: usize = 40;
/// Number of cells with real daemons that run in parallel.
const REAL_THREADS: usize = 3;
/// Maximum number of violations and of unexercised cells that are printed.
const MAX_PRINTED: usize = 40;

/// The cells that run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Selection {
    Alone,
    Brief,
    Whole,
}

/// The result of a cell.
struct Row {
    name: String,
    verdict: Verdict,
}

struct Options {
    selection: Selection,
    seed: u64,
    only: String,
    disabled_guard: Option<Guard>,
    threads: usize,
    is_real: bool,
    is_verbose: bool,
}

pub(crate) fn run(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    match parse(arguments) {
        Ok(Some(options)) => run_cells(&options),
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
        selection: Selection::Whole,
        seed: 1,
        only: String::new(),
        disabled_guard: None,
        threads: 4,
        is_real: false,
        is_verbose: false,
    };
    while let Some(it) = parser.next()? {
        match it {
            Long("alone") => options.selection = Selection::Alone,
            Long("brief") => options.selection = Selection::Brief,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("only") => options.only = parser.value()?.string()?,
            Long("threads") => options.threads = parser.value()?.parse()?,
            Long("real") => options.is_real = true,
            Long("verbose") => options.is_verbose = true,
            Long("without") => {
                let name = parser.value()?.string()?;
                let guard = Guard::parse(&name).ok_or_else(|| format!("unknown guard `{name}`"))?;
                options.disabled_guard = Some(guard);
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

fn run_cells(options: &Options) -> ExitCode {
    let is_wanted = |it: &Cell| it.name().contains(&options.only);
    let singles: Vec<Cell> = cell::singles(options.seed).into_iter().filter(is_wanted).collect();
    let pairs = cell::pairs(options.seed).into_iter().filter(is_wanted);
    let pairs: Vec<Cell> = match options.selection {
        Selection::Alone => Vec::new(),
        Selection::Brief => pairs.step_by(BRIEF_STEP).collect(),
        Selection::Whole => pairs.collect(),
    };
    let all: Vec<Cell> = singles.iter().chain(&pairs).copied().collect();
    let mut rows = run_all(&all, options.threads, |it| Row {
        name: it.name(),
        verdict: simulation::run(it, options.disabled_guard),
    });
    let real = real_faults(options);
    rows.extend(run_all(&real, REAL_THREADS, |it| Row {
        name: format!("real daemons: {}", it.name()),
        verdict: real::run(it),
    }));
    report(&rows, options);
    let violations: usize = rows.iter().map(|it| it.verdict.violations.len()).sum();
    let unexercised = rows.iter().filter(|it| !it.verdict.is_exercised()).count();
    println!(
        "RESULT cells={} pairs={} real={} violations={violations} unexercised={unexercised}",
        singles.len(),
        pairs.len(),
        real.len()
    );
    let is_ok = violations == 0 && unexercised == 0 && !rows.is_empty();
    if is_ok { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn real_faults(options: &Options) -> Vec<Fault> {
    let is_included = options.is_real || options.selection == Selection::Whole;
    let is_wanted = |it: &Fault| format!("real daemons: {}", it.name()).contains(&options.only);
    let wanted = real::FAULTS.into_iter().filter(is_wanted);
    if is_included && options.disabled_guard.is_none() { wanted.collect() } else { Vec::new() }
}

/// Runs all cells on several threads and returns the rows in the order of the cells.
fn run_all<T: Copy + Sync>(cells: &[T], threads: usize, run: impl Fn(T) -> Row + Sync) -> Vec<Row> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut res = Vec::new();
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(&cell) = cells.get(index) else { return res };
            res.push((index, run(cell)));
        }
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        let thread_rows = threads.into_iter().map(|it| it.join().expect("a cell panicked"));
        let mut res: Vec<_> = thread_rows.flatten().collect();
        res.sort_by_key(|(index, _)| *index);
        res.into_iter().map(|(_, row)| row).collect()
    })
}

fn report(rows: &[Row], options: &Options) {
    let violations =
        rows.iter().flat_map(|row| row.verdict.violations.iter().map(move |it| (row, it)));
    for (row, violation) in violations.take(MAX_PRINTED) {
        let promise = PROMISES[violation.promise.index()].1;
        println!("VIOLATION {promise} in {}: {}", row.name, violation.description);
    }
    for row in rows.iter().filter(|it| !it.verdict.is_exercised()).take(MAX_PRINTED) {
        println!("UNEXERCISED {}", row.name);
    }
    if options.is_verbose {
        for row in rows {
            println!("{}: {}", row.name, exercised(&row.verdict));
        }
    }
    let violating = rows.iter().filter(|it| !it.verdict.violations.is_empty()).count();
    println!("cells with a violation: {violating} of {}", rows.len());
    println!("promise: cells that exercised it, of {}", rows.len());
    for (promise, name) in PROMISES {
        let cells = rows.iter().filter(|it| it.verdict.exercised[promise.index()] > 0).count();
        println!("  {name}: {cells}");
    }
}

fn exercised(verdict: &Verdict) -> String {
    let names = PROMISES.iter().filter(|(it, _)| verdict.exercised[it.index()] > 0);
    names.map(|(_, name)| *name).collect::<Vec<_>>().join(" ")
}

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
mod real;
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
    fault::Fault,
    guard::{GUARDS, Guard},
    promise::{PROMISES, Verdict},
};

const HELP: &str = "\
usage: cargo xtask matrix [--alone | --brief] [--seed N] [--only TEXT] [--without GUARD] [--threads N] [--real] [--verbose]

  --alone          every fault alone at every step
  --brief          the same, and a part of the pairs
  --seed N         seed of the random numbers; 1 if not given
  --only TEXT      cells whose name holds TEXT
  --without GUARD  removes a guard; the command must then fail
  --guards         lists the guards
  --real           real daemons on loopback too, as in a run of everything
  --verbose        a line for each cell
";
/// Of the pairs, a brief run plays one in this many.
const BRIEF_SHARE: usize = 40;
/// Cells with real daemons that run at once.
const REAL_THREADS: usize = 3;
/// Violations that are printed at most.
const PRINTED: usize = 40;

/// How much is played.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Part {
    Alone,
    Brief,
    Whole,
}

/// A cell that was played.
struct Row {
    name: String,
    verdict: Verdict,
}

struct Options {
    part: Part,
    seed: u64,
    only: String,
    off: Option<Guard>,
    threads: usize,
    is_real: bool,
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
        is_real: false,
        is_verbose: false,
    };
    while let Some(it) = parser.next()? {
        match it {
            Long("alone") => options.part = Part::Alone,
            Long("brief") => options.part = Part::Brief,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("only") => options.only = parser.value()?.string()?,
            Long("threads") => options.threads = parser.value()?.parse()?,
            Long("real") => options.is_real = true,
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
    let mut rows = play_all(&all, options.threads, |it| Row {
        name: it.name(),
        verdict: world::play(it, options.off),
    });
    let real = real_faults(options);
    rows.extend(play_all(&real, REAL_THREADS, |it| Row {
        name: format!("real daemons: {}", it.name()),
        verdict: real::play(it),
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
    let is_good = violations == 0 && unexercised == 0 && !rows.is_empty();
    if is_good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn real_faults(options: &Options) -> Vec<Fault> {
    let is_part = options.is_real || options.part == Part::Whole;
    let is_wanted = |it: &Fault| format!("real daemons: {}", it.name()).contains(&options.only);
    let wanted = real::FAULTS.into_iter().filter(is_wanted);
    if is_part && options.off.is_none() { wanted.collect() } else { Vec::new() }
}

/// Plays all cells on some threads; the rows come in the order of the cells.
fn play_all<T: Copy + Sync>(
    cells: &[T],
    threads: usize,
    play: impl Fn(T) -> Row + Sync,
) -> Vec<Row> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut res = Vec::new();
        loop {
            let place = next.fetch_add(1, Ordering::Relaxed);
            let Some(&cell) = cells.get(place) else { return res };
            res.push((place, play(cell)));
        }
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        let parts = threads.into_iter().map(|it| it.join().expect("a cell panicked"));
        let mut res: Vec<_> = parts.flatten().collect();
        res.sort_by_key(|(place, _)| *place);
        res.into_iter().map(|(_, row)| row).collect()
    })
}

fn report(rows: &[Row], options: &Options) {
    let broken = rows.iter().flat_map(|row| row.verdict.violations.iter().map(move |it| (row, it)));
    for (row, violation) in broken.take(PRINTED) {
        let promise = PROMISES[violation.promise.index()].1;
        println!("VIOLATION {promise} in {}: {}", row.name, violation.what);
    }
    for row in rows.iter().filter(|it| !it.verdict.is_exercised()).take(PRINTED) {
        println!("UNEXERCISED {}", row.name);
    }
    if options.is_verbose {
        for row in rows {
            println!("{}: {}", row.name, exercised(&row.verdict));
        }
    }
    let red = rows.iter().filter(|it| !it.verdict.violations.is_empty()).count();
    println!("cells with a violation: {red} of {}", rows.len());
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

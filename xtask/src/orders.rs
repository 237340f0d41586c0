//! `cargo xtask orders`: model checking of the order protocol under faults.
//!
//! The engines of two or more entry hosts run against a log, a network and a backend server that
//! are plain data. The search can therefore copy and compare states, and try every possible step
//! from each.

mod apply;
mod cost;
mod enabled;
mod guard;
mod options;
mod scenario;
mod scenarios;
mod search;
mod shared;
mod state;
mod step;
mod verdict;
mod walk;

use std::{ffi::OsString, process::ExitCode, thread, time::Instant};

use options::Options;
use scenario::Scenario;
use search::Report;
use verdict::Verdict;

/// Number of scenarios that are searched in parallel.
const THREADS: usize = 3;
/// Maximum number of steps printed of a run with a violation. Only the last ones are printed.
const MAX_TRACE_STEPS: usize = 60;

pub(crate) fn run(args: impl Iterator<Item = OsString>) -> ExitCode {
    let options = match Options::parse(args) {
        Ok(Some(it)) => it,
        Ok(None) => {
            println!("{}", options::HELP);
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}\n{}", options::HELP);
            return ExitCode::from(2);
        }
    };
    if options.cost {
        return measure_cost(options.rate);
    }
    let started = Instant::now();
    let mut reports = search_scenarios(&options);
    reports.extend(walk_scenarios(&options));
    summarize(&reports, started)
}

fn measure_cost(rate: u32) -> ExitCode {
    match cost::run(rate) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("orders: {e}");
            ExitCode::FAILURE
        }
    }
}

/// The report on a scenario.
struct Row {
    name: String,
    report: Report,
}

/// Searches each selected scenario exhaustively.
fn search_scenarios(options: &Options) -> Vec<Row> {
    let is_selected =
        |it: &Scenario| options.scenario.as_deref().is_none_or(|name| name == it.name);
    let scenarios: Vec<Scenario> =
        scenarios::exhaustive(options).into_iter().filter(is_selected).collect();
    let mut rows = Vec::new();
    for chunk in scenarios.chunks(THREADS) {
        let rows_of_chunk: Vec<Row> = thread::scope(|scope| {
            let running: Vec<_> =
                chunk.iter().map(|it| scope.spawn(|| search_one(it, options))).collect();
            running.into_iter().map(|it| it.join().expect("a search panicked")).collect()
        });
        rows.extend(rows_of_chunk);
    }
    rows
}

fn search_one(scenario: &Scenario, options: &Options) -> Row {
    let report = search::search(scenario, options.limit);
    let name =
        format!("all {} copies={} faults={}", scenario.name, scenario.copies, scenario.faults);
    print_row(&name, &report);
    Row { name, report }
}

/// Runs random walks of each random scenario.
fn walk_scenarios(options: &Options) -> Vec<Row> {
    scenarios::random(options).iter().map(|it| walk_many(it, options)).collect()
}

fn walk_many(scenario: &Scenario, options: &Options) -> Row {
    let mut sum = Report::default();
    for seed in options.seed..options.seed + options.walks {
        let report = walk::walk(scenario, seed);
        sum.states += report.states;
        sum.ends += report.ends;
        if !report.verdict.is_clean() {
            println!("seed {seed} violates a promise");
            sum.verdict.add(report.verdict);
            sum.trace = report.trace;
            break;
        }
    }
    let name = format!("random {}", scenario.name);
    print_row(&name, &sum);
    Row { name, report: sum }
}

fn print_row(name: &str, report: &Report) {
    let Report { states, ends, is_partial, .. } = report;
    let coverage = if *is_partial { "partial" } else { "whole" };
    println!("{name:<42} states={states:<10} ends={ends:<8} {coverage}");
}

fn summarize(rows: &[Row], started: Instant) -> ExitCode {
    let mut verdict = Verdict::default();
    for row in rows {
        verdict.add(row.report.verdict);
        if !row.report.verdict.is_clean() {
            println!("{}: a promise is violated after these steps:", row.name);
            let trace = &row.report.trace;
            let first_shown = trace.len().saturating_sub(MAX_TRACE_STEPS);
            trace[first_shown..].iter().for_each(|it| println!("  {it:?}"));
        }
    }
    let states: u64 = rows.iter().map(|it| it.report.states).sum();
    let partial = rows.iter().filter(|it| it.report.is_partial).count();
    let Verdict { doubled, false_not_run, wrong_answer, late, stuck } = verdict;
    println!(
        "RESULT states={states} doubled={doubled} false_not_run={false_not_run} \
         wrong_answer={wrong_answer} stuck={stuck} late={late} partial={partial} seconds={}",
        started.elapsed().as_secs()
    );
    if verdict.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

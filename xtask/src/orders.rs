//! `cargo xtask orders`: explores the order protocol's core under faults.
//!
//! The engines of two or more entry hosts run against a log, a network and a backend server that
//! are plain data, so that every state can be copied, compared and continued in every way.

mod apply;
mod cost;
mod enabled;
mod guard;
mod options;
mod rules;
mod scenario;
mod search;
mod shared;
mod step;
mod verdict;
mod walk;
mod world;

use std::{ffi::OsString, process::ExitCode, thread, time::Instant};

use options::Options;
use rules::Rules;
use search::Report;
use verdict::Verdict;

/// Explorations at once.
const THREADS: usize = 3;
/// Steps of a violating run that are printed, the last ones.
const TRACE_LIMIT: usize = 60;

/// Runs the command with its arguments.
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
    let mut reports = explore(&options);
    reports.extend(wander(&options));
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

/// A report and what it is about.
struct Row {
    name: String,
    report: Report,
}

/// Searches each scenario exhaustively.
fn explore(options: &Options) -> Vec<Row> {
    let wanted = |it: &Rules| options.scenario.as_deref().is_none_or(|name| name == it.name);
    let scenarios: Vec<Rules> = scenario::exhaustive(options).into_iter().filter(wanted).collect();
    let mut rows = Vec::new();
    for chunk in scenarios.chunks(THREADS) {
        let done: Vec<Row> = thread::scope(|scope| {
            let running: Vec<_> =
                chunk.iter().map(|it| scope.spawn(|| search_one(it, options))).collect();
            running.into_iter().map(|it| it.join().expect("a search panicked")).collect()
        });
        rows.extend(done);
    }
    rows
}

fn search_one(rules: &Rules, options: &Options) -> Row {
    let report = search::search(rules, options.limit);
    let name = format!("all {} copies={} faults={}", rules.name, rules.copies, rules.faults);
    print_row(&name, &report);
    Row { name, report }
}

/// Runs each scenario of random steps with many seeds.
fn wander(options: &Options) -> Vec<Row> {
    scenario::random(options).iter().map(|it| walk_many(it, options)).collect()
}

fn walk_many(rules: &Rules, options: &Options) -> Row {
    let mut sum = Report::default();
    for seed in options.seed..options.seed + options.walks {
        let report = walk::walk(rules, seed);
        sum.states += report.states;
        sum.ends += report.ends;
        if !report.verdict.is_clean() {
            println!("seed {seed} violates a promise");
            sum.verdict.add(report.verdict);
            sum.trace = report.trace;
            break;
        }
    }
    let name = format!("random {}", rules.name);
    print_row(&name, &sum);
    Row { name, report: sum }
}

fn print_row(name: &str, report: &Report) {
    let Report { states, ends, is_partial, .. } = report;
    let extent = if *is_partial { "partial" } else { "whole" };
    println!("{name:<42} states={states:<10} ends={ends:<8} {extent}");
}

fn summarize(rows: &[Row], started: Instant) -> ExitCode {
    let mut verdict = Verdict::default();
    for row in rows {
        verdict.add(row.report.verdict);
        if !row.report.verdict.is_clean() {
            println!("{}: violated after", row.name);
            let trace = &row.report.trace;
            let shown = trace.len().saturating_sub(TRACE_LIMIT);
            trace[shown..].iter().for_each(|it| println!("  {it:?}"));
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

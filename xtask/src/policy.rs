//! `cargo xtask policy`: the product's choices beside an oracle's and the usual policies'.

#![expect(clippy::cast_precision_loss, reason = "counts of a simulation are far below 2^52")]

mod agenda;
mod baseline;
mod cost;
mod disturbance;
mod entry;
mod ini;
mod outcome;
mod parse;
mod scenario;
mod server;
mod tally;
mod world;

use std::{collections::BTreeMap, fs, process::ExitCode};

use baseline::Policy;
use outcome::Outcome;
use scenario::Scenario;
use tally::Tally;

/// Seed of the first run unless another is given.
const DEFAULT_SEED: u64 = 1;

/// Scenarios that are run unless another is given.
const STOCK: [&str; 6] = [
    include_str!("../../scenarios/cairo.ini"),
    include_str!("../../scenarios/addis.ini"),
    include_str!("../../scenarios/cairo_flood_lowest.ini"),
    include_str!("../../scenarios/addis_flood_lowest.ini"),
    include_str!("../../scenarios/cairo_flood_urgent.ini"),
    include_str!("../../scenarios/addis_flood_urgent.ini"),
];

/// What the command line asks for.
#[derive(Debug)]
struct Options {
    scenarios: Vec<Scenario>,
    seed: u64,
    seeds: Option<u64>,
    /// Whether to measure the balancer's own time in place of the scenarios.
    cost: bool,
}

/// Runs the scenarios and prints their outcome; fails if a bound is missed.
pub(crate) fn run(parser: &mut lexopt::Parser) -> ExitCode {
    let options = match options(parser) {
        Ok(options) => options,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(2);
        }
    };
    if options.cost {
        cost::print();
        return ExitCode::SUCCESS;
    }
    let outcomes: Vec<Outcome> =
        options.scenarios.iter().map(|it| simulate(it, &options)).collect();
    outcomes.iter().for_each(Outcome::print);
    let misses: Vec<String> = outcomes.iter().flat_map(Outcome::misses).collect();
    for miss in &misses {
        println!("MISSED {miss}");
    }
    println!("{}", outcome::result_line(&outcomes));
    if misses.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn options(parser: &mut lexopt::Parser) -> Result<Options, String> {
    let mut res = Options { scenarios: Vec::new(), seed: DEFAULT_SEED, seeds: None, cost: false };
    while let Some(arg) = parser.next().map_err(|it| it.to_string())? {
        match arg {
            lexopt::Arg::Long("scenario") => {
                let path = parser.value().map_err(|it| it.to_string())?;
                res.scenarios.push(read(&path.to_string_lossy())?);
            }
            lexopt::Arg::Long("seed") => res.seed = number(parser)?,
            lexopt::Arg::Long("seeds") => res.seeds = Some(number(parser)?.max(1)),
            lexopt::Arg::Long("cost") => res.cost = true,
            other => return Err(other.unexpected().to_string()),
        }
    }
    if res.scenarios.is_empty() {
        for text in STOCK {
            res.scenarios.push(parse_or_explain("built-in scenario", text)?);
        }
    }
    Ok(res)
}

fn number(parser: &mut lexopt::Parser) -> Result<u64, String> {
    use lexopt::ValueExt;
    parser.value().and_then(|it| it.parse()).map_err(|it| it.to_string())
}

fn read(path: &str) -> Result<Scenario, String> {
    let text = fs::read_to_string(path).map_err(|it| format!("{path}: {it}"))?;
    parse_or_explain(path, &text)
}

fn parse_or_explain(path: &str, text: &str) -> Result<Scenario, String> {
    parse::parse(text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(|it| format!("{path}: {it}")).collect();
        lines.join("\n")
    })
}

/// Runs each policy with each seed; a thread for each policy, so that the figures don't depend on
/// their timing.
fn simulate(scenario: &Scenario, options: &Options) -> Outcome {
    let seeds = options.seed..options.seed + options.seeds.unwrap_or(scenario.seeds);
    let runs = |policy| -> Vec<Tally> {
        seeds.clone().map(|seed| world::run(scenario, policy, seed)).collect()
    };
    let tallies: BTreeMap<Policy, Vec<Tally>> =
        Policy::ALL.into_iter().map(|policy| (policy, runs(policy))).collect();
    Outcome::new(scenario.clone(), tallies)
}

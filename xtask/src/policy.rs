//! `cargo xtask policy`: simulates fireflydrum's load balancing and compares it with an oracle and common policies.

#![expect(clippy::cast_precision_loss, reason = "counts of a simulation are far below 2^52")]

mod baseline;
mod cost;
mod disturbance;
mod entry_host;
mod event_queue;
mod ini;
mod outcome;
mod parse;
mod scenario;
mod server;
mod simulation;
mod stats;

use std::{collections::BTreeMap, fs, process::ExitCode};

use baseline::Policy;
use outcome::Outcome;
use scenario::Scenario;
use stats::Stats;

/// Default seed of the first run.
const DEFAULT_SEED: u64 = 1;

/// Scenarios that run if the command line names none.
const BUILT_IN_SCENARIOS: [&str; 6] = [
    include_str!("../../scenarios/cairo.ini"),
    include_str!("../../scenarios/addis.ini"),
    include_str!("../../scenarios/cairo_flood_lowest.ini"),
    include_str!("../../scenarios/addis_flood_lowest.ini"),
    include_str!("../../scenarios/cairo_flood_urgent.ini"),
    include_str!("../../scenarios/addis_flood_urgent.ini"),
];

/// Arguments of the command line.
#[derive(Debug)]
struct Options {
    scenarios: Vec<Scenario>,
    seed: u64,
    /// Number of seeds, in place of the scenario's.
    seeds: Option<u64>,
    /// Whether to measure the time of the balancer per request instead of simulating scenarios.
    cost: bool,
}

/// Runs the scenarios and prints their outcomes. The exit code is 1 if a bound is missed, 2 on
/// invalid arguments.
pub(crate) fn run(parser: &mut lexopt::Parser) -> ExitCode {
    let options = match parse_options(parser) {
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
    let missed_bounds: Vec<String> = outcomes.iter().flat_map(Outcome::missed_bounds).collect();
    for miss in &missed_bounds {
        println!("MISSED {miss}");
    }
    println!("{}", outcome::result_line(&outcomes));
    if missed_bounds.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn parse_options(parser: &mut lexopt::Parser) -> Result<Options, String> {
    let mut res = Options { scenarios: Vec::new(), seed: DEFAULT_SEED, seeds: None, cost: false };
    while let Some(arg) = parser.next().map_err(|it| it.to_string())? {
        match arg {
            lexopt::Arg::Long("scenario") => {
                let path = parser.value().map_err(|it| it.to_string())?;
                res.scenarios.push(read_scenario(&path.to_string_lossy())?);
            }
            lexopt::Arg::Long("seed") => res.seed = parse_number(parser)?,
            lexopt::Arg::Long("seeds") => res.seeds = Some(parse_number(parser)?.max(1)),
            lexopt::Arg::Long("cost") => res.cost = true,
            other => return Err(other.unexpected().to_string()),
        }
    }
    if res.scenarios.is_empty() {
        for text in BUILT_IN_SCENARIOS {
            res.scenarios.push(parse_scenario("built-in scenario", text)?);
        }
    }
    Ok(res)
}

fn parse_number(parser: &mut lexopt::Parser) -> Result<u64, String> {
    use lexopt::ValueExt;
    parser.value().and_then(|it| it.parse()).map_err(|it| it.to_string())
}

fn read_scenario(path: &str) -> Result<Scenario, String> {
    let text = fs::read_to_string(path).map_err(|it| format!("{path}: {it}"))?;
    parse_scenario(path, &text)
}

fn parse_scenario(path: &str, text: &str) -> Result<Scenario, String> {
    parse::parse(text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(|it| format!("{path}: {it}")).collect();
        lines.join("\n")
    })
}

/// Simulates each policy with each seed.
fn simulate(scenario: &Scenario, options: &Options) -> Outcome {
    let seeds = options.seed..options.seed + options.seeds.unwrap_or(scenario.seeds);
    let runs = |policy| -> Vec<Stats> {
        seeds.clone().map(|seed| simulation::run(scenario, policy, seed)).collect()
    };
    let stats: BTreeMap<Policy, Vec<Stats>> =
        Policy::ALL.into_iter().map(|policy| (policy, runs(policy))).collect();
    Outcome::new(scenario.clone(), stats)
}

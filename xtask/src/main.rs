//! Tasks, tests and measurements for developers: `cargo xtask COMMAND`.

mod config;
mod lines;
mod load;
mod matrix;
mod orders;
mod policy;
mod slopes;
mod soak;
mod standins;
mod tour;
mod usage;

use std::process::ExitCode;

const HELP: &str = "\
usage: cargo xtask COMMAND [OPTIONS]

  config    simulates editors and daemons on a virtual clock with faults of the log
  lines     counts lines of code and tests
  load      measures the latency and processor time that the daemon adds, on loopback
  matrix    injects every fault at every step and checks every promise
  orders    model-checks the order protocol under faults
  policy    compares the choice of upstreams with baselines and an oracle
  slopes    measures a daemon's cost for several sizes of the system
  soak      runs daemons as separate processes and injects faults
  standins  runs the stand-ins for daemons and a command line that are started by hand
  tour      demonstrates the whole system on loopback in one process
  help      prints this page

Each command prints what it does and ends with a line `RESULT key=value ...`.
";

fn main() -> ExitCode {
    let mut args = std::env::args_os().skip(1);
    let command = args.next().unwrap_or_default();
    match command.to_str().unwrap_or_default() {
        "config" => config::run(args),
        "lines" => lines::run(),
        "load" => load::run(),
        "matrix" => matrix::run(args),
        "orders" => orders::run(args),
        "policy" => policy::run(&mut lexopt::Parser::from_args(args)),
        "slopes" => slopes::run(args),
        "soak" => soak::run(args),
        "standins" => standins::run(args),
        "tour" => tour::run(),
        "help" | "--help" | "-h" => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        other => {
            eprintln!("unknown command `{other}`\n{HELP}");
            ExitCode::from(2)
        }
    }
}

//! Chores and measurements for developers: `cargo xtask COMMAND`.

mod load;
mod matrix;
mod tour;

use std::process::ExitCode;

const HELP: &str = "\
usage: cargo xtask COMMAND [OPTIONS]

  load      measures what the daemon adds to a call, on loopback
  matrix    plays every fault at every step and checks every promise
  tour      shows the whole path on loopback, in one process
  help      prints this page

Each command prints what it does and ends with a line `RESULT key=value ...`.
";

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let command = arguments.next().unwrap_or_default();
    match command.as_str() {
        "load" => load::run(),
        "matrix" => matrix::run(arguments.collect()),
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

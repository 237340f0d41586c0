//! Chores and measurements for developers: `cargo xtask VERB`.

use std::process::ExitCode;

mod orders;

/// What the program prints without a verb.
const USAGE: &str = "usage: cargo xtask orders [--help]";

fn main() -> ExitCode {
    let mut args = std::env::args_os().skip(1);
    match args.next().as_ref().and_then(|it| it.to_str()) {
        Some("orders") => orders::run(args),
        Some(other) => {
            eprintln!("no verb {other:?}\n{USAGE}");
            ExitCode::from(2)
        }
        None => {
            eprintln!("{USAGE}");
            ExitCode::from(2)
        }
    }
}

//! Chores and measurements for developers.

mod policy;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut parser = lexopt::Parser::from_env();
    match parser.next() {
        Ok(Some(lexopt::Arg::Value(name))) if name == "policy" => policy::run(&mut parser),
        _ => {
            eprintln!("usage: cargo xtask policy [--scenario FILE]... [--seed N] [--seeds N]");
            ExitCode::from(2)
        }
    }
}

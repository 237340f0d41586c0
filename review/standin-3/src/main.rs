//! Cases of a review that can't be put as days for the bench: `standin-3 CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0`
//! in the environment the disruption is left out.

mod cases;
mod daemon;
mod heartbeat;
mod http;
mod record;
mod store;
mod upstream;

use std::{env, process::ExitCode};

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<_> = env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Record::create(path);
    record.line(&format!(
        "case {case}, {} disruption",
        if has_trouble { "with the" } else { "without" }
    ));
    let run = match &**case {
        "long-paths" => cases::long_paths::run,
        "moved-store" => cases::moved_store::run,
        "same-id" => cases::same_id::run,
        "odd-entry" => cases::odd_entry::run,
        "late-entry" => cases::late_entry::run,
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    match run(&record, has_trouble) {
        Ok(broken) if broken.is_empty() => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for it in &broken {
                record.line(&format!("BROKEN {it}"));
            }
            ExitCode::from(1)
        }
        Err(e) => {
            record.line(&format!("the case could not run: {e}"));
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}

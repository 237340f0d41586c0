//! Stand-ins for the cases of this review: the platform's store, upstreams and clients, and the
//! platform's part in starting and stopping the daemons. Standard library only.

mod case_memory;
mod case_pipeline;
mod case_removal;
mod case_reset;
mod case_stop;
mod daemon;
mod http;
mod record;
mod store;
mod upstream;

use std::process::exit;

/// Exit code if the rule was broken.
const BROKEN: i32 = 1;
/// Exit code if the case couldn't run.
const NOT_RUN: i32 = 2;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        exit(NOT_RUN);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = record::Record::create(folder);
    record.line(&format!("case {name}, trouble {}", u8::from(with_trouble)));
    daemon::watch();
    let result = match name.as_str() {
        "removal" => case_removal::run(&record, with_trouble),
        "reset" => case_reset::run(&record, with_trouble),
        "pipeline" => case_pipeline::run(&record, with_trouble),
        "stop" => case_stop::run(&record, with_trouble),
        "memory" => case_memory::run(&record, with_trouble),
        _ => Err(format!("no case {name}")),
    };
    let code = match result {
        Ok(0) => {
            record.line("RESULT the rule held");
            0
        }
        Ok(count) => {
            record.line(&format!("RESULT the rule was broken {count} times"));
            BROKEN
        }
        Err(e) => {
            record.line(&format!("RESULT the case could not run: {e}"));
            NOT_RUN
        }
    };
    let _ = std::fs::remove_dir_all(daemon::folder());
    exit(code);
}

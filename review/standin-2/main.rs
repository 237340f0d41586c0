//! Cases of the second review: stand-ins for the platform, upstreams and clients round real daemons.

mod case_early;
mod case_entry;
mod case_start;
mod case_stop;
mod daemon;
mod fleet;
mod http;
mod record;
mod store;
mod upstream;

use std::{path::PathBuf, process::ExitCode, sync::Arc, thread, time::Duration};

use record::Record;

const USAGE: &str = "usage: standin CASE PROGRAM FOLDER TEMPORARY";
/// Time after which a case that hangs is ended.
const TIMEOUT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [case, program, folder, temporary] = &arguments[..] else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let [program, folder, temporary] = [program, folder, temporary].map(PathBuf::from);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::new(&folder) else { return ExitCode::from(2) };
    let record = Arc::new(record);
    thread::spawn(|| {
        thread::sleep(TIMEOUT);
        daemon::kill_all();
        std::process::exit(2);
    });
    record.line(&format!("case {case}, trouble: {trouble}"));
    let run = match &**case {
        "odd-entry" => case_entry::run,
        "early-answer" => case_early::run,
        "fraction-start" => case_start::run,
        "stop-upload" => case_stop::upload,
        "stop-order" => case_stop::late_order,
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    match run(&program, &temporary, &record, trouble) {
        Ok(it) => ExitCode::from(u8::try_from(it).unwrap_or(2)),
        Err(e) => {
            record.line(&format!("the case could not run: {e}"));
            ExitCode::from(2)
        }
    }
}

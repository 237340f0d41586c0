//! `fireflydrumd`: the daemon of an entry host.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use daemon::{Process, Settings};
use gateway::Start;
use lexopt::prelude::*;

const HELP: &str = "\
fireflydrumd: entry host of the fireflydrum load balancer

usage: fireflydrumd [--check] SETTINGS

  SETTINGS   INI file with the section [daemon], or [gateway] for upstreams that register
             themselves and a configuration that the platform keeps
  --check    report every finding in SETTINGS and exit
  --help     print this page
  --version  print the version

exit codes: 0 stopped as planned, 1 could not start, 2 wrong arguments or settings
";

struct Arguments {
    settings: PathBuf,
    check_only: bool,
}

fn main() -> ExitCode {
    // A signal must find its handler from the first moment on.
    let start = match Start::new() {
        Ok(it) => it,
        Err(e) => {
            eprintln!("fireflydrumd: {e}");
            return ExitCode::FAILURE;
        }
    };
    let arguments = match parse_arguments() {
        Ok(Some(it)) => it,
        Ok(None) => return ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("fireflydrumd: {e}; see --help");
            return ExitCode::from(2);
        }
    };
    let settings = match read_settings(&arguments.settings) {
        Ok(it) => it,
        Err(text) => {
            eprint!("{text}");
            return ExitCode::from(2);
        }
    };
    if arguments.check_only {
        if let Role::Gateway(it) = &settings
            && !it.replaced.is_empty()
        {
            eprint!("{}", lines(&arguments.settings, &it.replaced));
            return ExitCode::from(2);
        }
        println!("{}: no findings", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    match settings {
        Role::Daemon(it) => run(start, *it),
        Role::Gateway(it) => run_gateway(start, *it, &arguments.settings),
    }
}

/// The kind of daemon that the settings select.
enum Role {
    /// A daemon that reads its configuration document and its hosts in the project's own formats.
    Daemon(Box<Settings>),
    /// A daemon that reads its configuration and upstreams from the platform.
    Gateway(Box<gateway::Settings>),
}

fn parse_arguments() -> Result<Option<Arguments>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut settings = None;
    let mut check_only = false;
    while let Some(it) = parser.next()? {
        match it {
            Long("help") | Short('h') => {
                print!("{HELP}");
                return Ok(None);
            }
            Long("version") => {
                println!("fireflydrumd {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Long("check") => check_only = true,
            Value(it) if settings.is_none() => settings = Some(PathBuf::from(it)),
            it => return Err(it.unexpected()),
        }
    }
    let settings = settings.ok_or("no SETTINGS file named")?;
    Ok(Some(Arguments { settings, check_only }))
}

fn read_settings(path: &Path) -> Result<Role, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}\n"))?;
    let res = if gateway::Settings::has_section(&text) {
        gateway::Settings::parse(&text).map(|it| Role::Gateway(Box::new(it)))
    } else {
        Settings::parse(&text).map(|it| Role::Daemon(Box::new(it)))
    };
    res.map_err(|findings| lines(path, &findings))
}

/// Findings in a file, a line each.
fn lines(path: &Path, findings: &[ini::Finding]) -> String {
    let line = |it| format!("{}: {it}\n", path.display());
    findings.iter().map(line).collect()
}

fn run_gateway(start: Start, settings: gateway::Settings, path: &Path) -> ExitCode {
    if let Err(e) = gateway::logs::start(log::LevelFilter::Info, std::io::stdout()) {
        eprintln!("fireflydrumd: log: {e}");
        return ExitCode::FAILURE;
    }
    let store = adapter::Store::new(settings.store_address);
    if let Err(e) = start.run(settings, path, store) {
        eprintln!("fireflydrumd: {e}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn run(start: Start, settings: Settings) -> ExitCode {
    if let Err(e) = daemon::logs::dispatch(settings.log_level).chain(std::io::stderr()).apply() {
        eprintln!("fireflydrumd: log: {e}");
        return ExitCode::FAILURE;
    }
    let process = match Process::start(settings) {
        Ok(it) => it,
        Err(e) => {
            log::error!("{e}");
            return ExitCode::FAILURE;
        }
    };
    process.wait_for_leave(start.signals);
    process.stop();
    ExitCode::SUCCESS
}

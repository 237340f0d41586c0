//! `explain`: shows the decisions made on a request.

use std::{
    fmt,
    fs::File,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
};

use serde::Serialize;
use serde_json::Value;

use crate::{
    Arguments, Code, Context, Error, Outcome, Result, admin,
    arguments::Spec,
    trace::{Line, Trace},
    verb::Verb,
};

/// The verb.
pub const VERB: Verb = Verb {
    name: "explain",
    summary: "show the decisions made on a request",
    help: "\
usage: fireflydrum explain REQUEST [--from FILE]…

Queries the live hosts for the decisions on a request, by the id in its answer. Hosts keep only the
last decisions; older ones are in their logs.

  --from FILE       read the decisions from a daemon's log instead (`-`: standard input); may be
                    repeated, one file per host, or one file with the host's name before each line

  fireflydrum explain 8c1d1f0a-42
  fireflydrum explain 74f2fe12f01a117e --from edge-1.log --from edge-2.log
",
    spec: Spec { min_positionals: 1, max_positionals: 1, options: &["from"], flags: &[] },
    run,
};

#[derive(Serialize)]
struct Report {
    host: SocketAddr,
    decision: Value,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "decided on {}", self.host)?;
        writeln!(f, "{:#}", self.decision)
    }
}

fn run(cx: &Context<'_>, arguments: &Arguments) -> Result<Outcome> {
    let request = &arguments.positionals[0];
    let is_allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    if !request.chars().all(is_allowed) {
        return Err(Error::Usage(format!("`{}` isn't a request id", ini::excerpt(request))));
    }
    if arguments.option("from").is_some() {
        return from_logs(request, arguments.option_values("from"));
    }
    let path = format!("/explain/{request}");
    for host in admin::live_hosts(cx.admin, cx.seed_addresses()?) {
        let host = host.admin_address;
        if let Ok(decision) = admin::get_json::<Value>(cx.admin, host, &path) {
            return Ok(Outcome::new(&Report { host, decision }, Code::Done));
        }
    }
    let message = "no reachable host has a decision on the request";
    Ok(Outcome::new(&NotFound { request, message, starts: Vec::new() }, Code::Failed))
}

fn from_logs<'a>(request: &str, files: impl Iterator<Item = &'a str>) -> Result<Outcome> {
    let mut lines = Vec::new();
    for it in files {
        let file_error = |source| Error::File { name: it.to_owned(), source };
        let host = Path::new(it).file_stem().unwrap_or_default().to_string_lossy();
        let reader: Box<dyn BufRead> = match it {
            "-" => Box::new(std::io::stdin().lock()),
            path => Box::new(BufReader::new(File::open(path).map_err(file_error)?)),
        };
        for line in reader.split(b'\n') {
            // Invalid UTF-8 affects only the value that contains it.
            let line = line.map_err(file_error)?;
            lines.extend(Line::parse(&host, &String::from_utf8_lossy(&line)));
        }
    }
    if let Some(it) = Trace::new(request, &lines) {
        return Ok(Outcome::new(&it, Code::Done));
    }
    let message = "no line names the request; `event=lines-omitted` has the number of omitted lines, \
                  and requests in progress when a process was killed have no line";
    let starts = lines.into_iter().filter(|it| it.event() == "start").collect();
    Ok(Outcome::new(&NotFound { request, message, starts }, Code::Failed))
}

#[derive(Serialize)]
struct NotFound<'a> {
    request: &'a str,
    message: &'a str,
    /// Lines written when a daemon started.
    starts: Vec<Line>,
}

impl fmt::Display for NotFound<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {}", self.request, self.message)?;
        self.starts.iter().try_for_each(|it| writeln!(f, "  {it}"))
    }
}

//! `status`: shows the status of each host.

use std::{fmt, net::SocketAddr};

use serde::Serialize;

use crate::{
    Arguments, Code, Context, Outcome, Result,
    admin::{self, Status},
    arguments::Spec,
    verb::Verb,
};

/// The verb.
pub const VERB: Verb = Verb {
    name: "status",
    summary: "show the version in force and the load on each host",
    help: "\
usage: fireflydrum status

Shows for each live host the version of the document in force, the state of its replica of the log,
and the load of each service and rank. Exits with 1 if a host doesn't answer.

  fireflydrum status
  fireflydrum status --json
",
    spec: Spec { min_positionals: 0, max_positionals: 0, options: &[], flags: &[] },
    run,
};

#[derive(Serialize)]
struct Report {
    hosts: Vec<Line>,
}

#[derive(Serialize)]
struct Line {
    host: SocketAddr,
    #[serde(flatten)]
    answer: Answer,
}

#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
enum Answer {
    Status(Status),
    Error(String),
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Line { host, answer } in &self.hosts {
            match answer {
                Answer::Status(it) => write_status(f, *host, it)?,
                Answer::Error(it) => writeln!(f, "{host}  no answer: {it}")?,
            }
        }
        Ok(())
    }
}

fn write_status(f: &mut fmt::Formatter<'_>, host: SocketAddr, status: &Status) -> fmt::Result {
    let version = status.version.map_or("no version".to_owned(), |it| format!("version {it}"));
    writeln!(f, "{host}  {version}  configuration {}", status.configuration)?;
    for service in &status.services {
        let admin::Service { id, capacity, ejected, ranks } = service;
        writeln!(f, "  {id}  capacity {capacity}  ejected {ejected}")?;
        for admin::Rank { id, queued, in_flight, refused } in ranks {
            writeln!(f, "    {id}  in flight {in_flight}  queued {queued}  refused {refused}")?;
        }
    }
    Ok(())
}

fn run(cx: &Context<'_>, _arguments: &Arguments) -> Result<Outcome> {
    let hosts = admin::live_hosts(cx.admin, cx.seed_addresses()?);
    let lines = hosts.iter().map(|it| line(cx, it.admin_address));
    let report = Report { hosts: lines.collect() };
    let is_whole = report.hosts.iter().all(|it| matches!(it.answer, Answer::Status(_)));
    Ok(Outcome::new(&report, if is_whole { Code::Done } else { Code::Failed }))
}

fn line(cx: &Context<'_>, host: SocketAddr) -> Line {
    let answer = match admin::get_json(cx.admin, host, "/status") {
        Ok(it) => Answer::Status(it),
        Err(err) => Answer::Error(err.to_string()),
    };
    Line { host, answer }
}

//! `explain`: why a request went where it went.

use std::{fmt, net::SocketAddr};

use serde::Serialize;
use serde_json::Value;

use crate::{Arguments, Code, Context, Error, Outcome, Result, admin, arguments::Spec, verb::Verb};

/// The verb.
pub const VERB: Verb = Verb {
    name: "explain",
    summary: "show each decision that was made on a request",
    help: "\
usage: fireflydrum explain REQUEST

Asks the live hosts for the decisions on a request, by the id that its answer carries. Hosts keep the
last decisions only; older ones are in their logs.

  fireflydrum explain 8c1d1f0a-42
",
    spec: Spec { min_values: 1, max_values: 1, options: &[], flags: &[] },
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
    let request = &arguments.values[0];
    let is_plain = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    if !request.chars().all(is_plain) {
        return Err(Error::Usage(format!("`{}` is no id of a request", ini::excerpt(request))));
    }
    let path = format!("/explain/{request}");
    for host in admin::live_hosts(cx.admin, cx.seeds()?) {
        let host = host.admin_address;
        if let Ok(decision) = admin::ask::<Value>(cx.admin, host, &path) {
            return Ok(Outcome::new(&Report { host, decision }, Code::Done));
        }
    }
    let message = "no host that answers keeps decisions on the request";
    let report = Missing { request, message };
    Ok(Outcome::new(&report, Code::Failed))
}

#[derive(Serialize)]
struct Missing<'a> {
    request: &'a str,
    message: &'a str,
}

impl fmt::Display for Missing<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {}", self.request, self.message)
    }
}

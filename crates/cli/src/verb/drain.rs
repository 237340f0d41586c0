//! `drain`: drains a host.

use std::{fmt, net::SocketAddr, time::Duration};

use serde::Serialize;

use crate::{Arguments, Code, Context, Error, Outcome, Result, admin, arguments::Spec, verb::Verb};

/// Time between two polls of the host.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Default of `--wait`, in seconds.
const DEFAULT_WAIT_S: u64 = 60;

/// The verb.
pub const VERB: Verb = Verb {
    name: "drain",
    summary: "drain a host: no new requests, requests in progress are finished",
    help: "\
usage: fireflydrum drain HOST [--wait SECONDS]

Drains the daemon at the admin address HOST: it stops accepting new requests after callers have had
time to learn of it, finishes those in progress, and stops. Waits until the daemon has stopped, for
at most 60 seconds unless --wait is given; then exits with 6 if it still runs.

  fireflydrum drain 10.0.0.3:9100
",
    spec: Spec { min_positionals: 1, max_positionals: 1, options: &["wait"], flags: &[] },
    run,
};

#[derive(Serialize)]
struct Report {
    host: SocketAddr,
    #[serde(rename = "gone")]
    is_stopped: bool,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.is_stopped { "has stopped" } else { "is leaving and still running" };
        writeln!(f, "{} {state}", self.host)
    }
}

fn run(cx: &Context<'_>, arguments: &Arguments) -> Result<Outcome> {
    let host: SocketAddr = arguments.positionals[0].parse().map_err(|_| {
        Error::Usage(format!("`{}` isn't an admin address", arguments.positionals[0]))
    })?;
    let answer = cx.admin.post(host, "/drain")?;
    if !(200..300).contains(&answer.status) {
        let reason = format!("/drain answers with status {}", answer.status);
        return Err(Error::Host { address: host, reason });
    }
    let limit = Duration::from_secs(arguments.number("wait")?.unwrap_or(DEFAULT_WAIT_S));
    let is_stopped = wait(cx, host, limit);
    let code = if is_stopped { Code::Done } else { Code::Lagging };
    Ok(Outcome::new(&Report { host, is_stopped }, code))
}

/// Waits until the host's admin address no longer answers. Returns whether that happened within
/// `limit`.
fn wait(cx: &Context<'_>, host: SocketAddr, limit: Duration) -> bool {
    let started = cx.clock.now();
    while admin::get_json::<admin::Status>(cx.admin, host, "/status").is_ok() {
        if cx.clock.now().saturating_duration_since(started) >= limit {
            return false;
        }
        (cx.sleep)(POLL_INTERVAL);
    }
    true
}

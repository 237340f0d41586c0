//! `drain`: lets a host leave.

use std::{fmt, net::SocketAddr, time::Duration};

use serde::Serialize;

use crate::{Arguments, Code, Context, Error, Outcome, Result, admin, arguments::Spec, verb::Verb};

/// Time between two looks at the host.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time that `--wait` stands for when it isn't given, in seconds.
const DEFAULT_WAIT_S: u64 = 60;

/// The verb.
pub const VERB: Verb = Verb {
    name: "drain",
    summary: "let a host leave: no new requests, those in progress finished",
    help: "\
usage: fireflydrum drain HOST [--wait SECONDS]

Tells the daemon at the admin address HOST to leave: it stops taking new requests once callers have
had time to hear of it, finishes those in progress, and stops. Waits until the daemon is gone, 60
seconds at most unless --wait says otherwise; then exits with 6 if it still runs.

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
        let state = if self.is_stopped { "is gone" } else { "is leaving, and still runs" };
        writeln!(f, "{} {state}", self.host)
    }
}

fn run(cx: &Context<'_>, arguments: &Arguments) -> Result<Outcome> {
    let host: SocketAddr = arguments.positionals[0]
        .parse()
        .map_err(|_| Error::Usage(format!("`{}` is no admin address", arguments.positionals[0])))?;
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

/// Waits until nobody answers at the host's admin address any more.
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

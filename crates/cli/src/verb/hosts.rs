//! `hosts`: lists the live hosts.

use std::fmt;

use serde::Serialize;

use crate::{
    Arguments, Code, Context, Outcome, Result,
    admin::{self, Host},
    arguments::Spec,
    verb::Verb,
};

/// The verb.
pub const VERB: Verb = Verb {
    name: "hosts",
    summary: "list the live entry hosts",
    help: "\
usage: fireflydrum hosts

Lists the entry hosts known to the configured daemons, each with its admin address and whether it is
leaving.

  fireflydrum hosts --admin 10.0.0.1:9100
",
    spec: Spec { min_positionals: 0, max_positionals: 0, options: &[], flags: &[] },
    run,
};

#[derive(Serialize)]
struct Report {
    hosts: Vec<Host>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Host { admin_address, leaving } in &self.hosts {
            let state = if *leaving { "leaving" } else { "live" };
            writeln!(f, "{admin_address}  {state}")?;
        }
        Ok(())
    }
}

fn run(cx: &Context<'_>, _arguments: &Arguments) -> Result<Outcome> {
    let hosts = admin::live_hosts(cx.admin, cx.seed_addresses()?);
    Ok(Outcome::new(&Report { hosts }, Code::Done))
}

//! Waits until a version is in force on every live host.

use std::{fmt, net::SocketAddr, time::Duration};

use document::Version;
use serde::Serialize;

use crate::{
    Context, Result,
    admin::{self, Status},
};

/// Time between two polls of the hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// On which live hosts a version is in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Rollout {
    /// The version.
    pub version: Version,
    /// Live hosts on which the version isn't in force.
    pub lagging: Vec<LaggingHost>,
    /// Number of live hosts on which the version is in force.
    pub in_force: usize,
}

/// A live host on which a version isn't in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LaggingHost {
    /// The host's admin address.
    pub host: SocketAddr,
    /// The host's version and state, or why it gave no answer.
    pub reason: String,
}

impl fmt::Display for Rollout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total = self.in_force + self.lagging.len();
        writeln!(f, "in force on {} of {total} live hosts", self.in_force)?;
        for LaggingHost { host, reason } in &self.lagging {
            writeln!(f, "  {host} lags: {reason}")?;
        }
        Ok(())
    }
}

/// Waits until `version` is in force on every live host, for at most `limit`.
///
/// # Errors
///
/// Fails if the settings name no host.
pub fn wait(cx: &Context<'_>, version: Version, limit: Duration) -> Result<Rollout> {
    let started = cx.clock.now();
    loop {
        let rollout = poll(cx, version)?;
        let is_expired = cx.clock.now().saturating_duration_since(started) >= limit;
        if rollout.lagging.is_empty() || is_expired {
            return Ok(rollout);
        }
        (cx.sleep)(POLL_INTERVAL);
    }
}

fn poll(cx: &Context<'_>, version: Version) -> Result<Rollout> {
    let hosts = admin::live_hosts(cx.admin, cx.seed_addresses()?);
    let mut rollout = Rollout { version, lagging: Vec::new(), in_force: 0 };
    for host in hosts.iter().filter(|it| !it.leaving).map(|it| it.admin_address) {
        match lag_reason(cx, host, version) {
            None => rollout.in_force += 1,
            Some(reason) => rollout.lagging.push(LaggingHost { host, reason }),
        }
    }
    Ok(rollout)
}

/// Why a version isn't in force on a host, or `None` if it is.
fn lag_reason(cx: &Context<'_>, host: SocketAddr, version: Version) -> Option<String> {
    match admin::get_json::<Status>(cx.admin, host, "/status") {
        Ok(it) if it.version >= Some(version) => None,
        Ok(it) => {
            let found = it.version.map_or("no version".to_owned(), |it| format!("version {it}"));
            Some(format!("{found}, configuration {}", it.configuration))
        }
        Err(err) => Some(err.to_string()),
    }
}

//! The daemons' admin interface, as the command line uses it.

use std::{net::SocketAddr, time::Duration};

use document::{Version, replica};
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::{Error, Result};

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer, in bytes.
const ANSWER_LIMIT_BYTES: u64 = 16 << 20;

/// What a daemon says of itself; it says more, of which nothing is needed here.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Random id of this start of the daemon.
    pub incarnation: String,
    /// Version of the configuration in force; none before the first.
    pub version: Option<Version>,
    /// How the daemon follows the configuration in the log.
    pub configuration: replica::State,
    /// Services with their load.
    #[serde(default)]
    pub services: Vec<Service>,
}

/// Load of one service on one host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub id: String,
    /// Slots that the host may use.
    pub capacity: u32,
    /// Upstreams that the host sends nothing to at present.
    pub ejected: usize,
    /// Ranks, first served first.
    pub ranks: Vec<Rank>,
}

/// Load of one rank of a service on one host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rank {
    /// Name of the rank.
    pub id: String,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Requests that hold a slot.
    pub in_flight: u32,
    /// Requests that were refused, displaced or expired.
    pub refused: u64,
}

/// One host as a daemon knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Address of the host's admin interface.
    pub admin_address: SocketAddr,
    /// Whether the host is about to go.
    #[serde(default)]
    pub leaving: bool,
}

/// An answer of a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

/// The daemons' admin interface.
pub trait Admin {
    /// Asks the daemon at `address` for `path`.
    ///
    /// # Errors
    ///
    /// Fails if there is no whole answer; an answer with an error status is an answer.
    fn get(&self, address: SocketAddr, path: &str) -> Result<Answer>;

    /// Lets the daemon at `address` do what `path` names.
    ///
    /// # Errors
    ///
    /// As [`Admin::get`].
    fn post(&self, address: SocketAddr, path: &str) -> Result<Answer>;
}

/// The admin interface over HTTP.
#[derive(Clone, Debug)]
pub struct Http {
    agent: Agent,
}

impl Default for Http {
    fn default() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .timeout_global(Some(CALL_TIMEOUT));
        Self { agent: config.build().new_agent() }
    }
}

impl Admin for Http {
    fn get(&self, address: SocketAddr, path: &str) -> Result<Answer> {
        read(address, self.agent.get(format!("http://{address}{path}")).call())
    }

    fn post(&self, address: SocketAddr, path: &str) -> Result<Answer> {
        read(address, self.agent.post(format!("http://{address}{path}")).send_empty())
    }
}

fn read(
    address: SocketAddr,
    res: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<Answer> {
    let host_error = |err: ureq::Error| Error::Host { address, reason: err.to_string() };
    let mut res = res.map_err(host_error)?;
    let status = res.status().as_u16();
    let body = res.body_mut().with_config().limit(ANSWER_LIMIT_BYTES).read_to_string();
    Ok(Answer { status, body: body.map_err(host_error)? })
}

/// Asks a daemon for `path` and reads its JSON.
///
/// # Errors
///
/// Fails if there is no answer, or another one than expected.
pub fn get_json<T: for<'a> Deserialize<'a>>(
    admin: &dyn Admin,
    address: SocketAddr,
    path: &str,
) -> Result<T> {
    let answer = admin.get(address, path)?;
    let host_error = |reason| Error::Host { address, reason };
    if answer.status != 200 {
        return Err(host_error(format!("{path} answers with status {}", answer.status)));
    }
    serde_json::from_str(&answer.body).map_err(|err| host_error(format!("{path}: {err}")))
}

/// The daemons that live: those that the daemons at `seed_addresses` name, or the seeds if none names any.
#[must_use]
pub fn live_hosts(admin: &dyn Admin, seed_addresses: &[SocketAddr]) -> Vec<Host> {
    let named =
        seed_addresses.iter().filter_map(|it| get_json::<Vec<Host>>(admin, *it, "/hosts").ok());
    let mut hosts: Vec<_> = named.flatten().collect();
    if hosts.is_empty() {
        hosts.extend(seed_addresses.iter().map(|it| Host { admin_address: *it, leaving: false }));
    }
    // Leaving is believed at once, whichever host says so.
    hosts.sort_unstable_by_key(|it| (it.admin_address, !it.leaving));
    hosts.dedup_by_key(|it| it.admin_address);
    hosts
}

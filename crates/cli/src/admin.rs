//! Client of the daemons' admin interface.

use std::{net::SocketAddr, time::Duration};

use document::{Version, replica};
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::{Error, Result};

/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer, in bytes.
const ANSWER_LIMIT_BYTES: u64 = 16 << 20;

/// The part of a daemon's status that the command line uses.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Random id of this start of the daemon.
    pub incarnation: String,
    /// Version of the configuration in force, or `None` before the first.
    pub version: Option<Version>,
    /// State of the daemon's replica of the configuration.
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
    /// Number of slots that the host may use.
    pub capacity: u32,
    /// Number of upstreams that are ejected on the host.
    pub ejected: usize,
    /// Ranks, ordered by priority, highest first.
    pub ranks: Vec<Rank>,
}

/// Load of one rank of a service on one host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rank {
    /// Name of the rank.
    pub id: String,
    /// Number of requests that wait for a slot.
    pub queued: usize,
    /// Number of requests that hold a slot.
    pub in_flight: u32,
    /// Number of requests that were refused, displaced or expired.
    pub refused: u64,
}

/// An entry host as listed by a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Address of the host's admin interface.
    pub admin_address: SocketAddr,
    /// Whether the host is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// HTTP answer of a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

/// Client of the daemons' admin interface.
pub trait Admin {
    /// Sends `GET path` to the daemon at `address`.
    ///
    /// # Errors
    ///
    /// Fails if there is no complete answer. An answer with an error status isn't an error.
    fn get(&self, address: SocketAddr, path: &str) -> Result<Answer>;

    /// Sends `POST path` to the daemon at `address`.
    ///
    /// # Errors
    ///
    /// Fails as [`Admin::get`] does.
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

/// Sends `GET path` to a daemon and parses the answer as JSON.
///
/// # Errors
///
/// Fails if there is no answer with status 200 and the expected JSON.
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
    // A host is leaving if any daemon lists it as leaving.
    hosts.sort_unstable_by_key(|it| (it.admin_address, !it.leaving));
    hosts.dedup_by_key(|it| it.admin_address);
    hosts
}

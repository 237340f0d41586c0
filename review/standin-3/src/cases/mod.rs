//! The cases, and what they share.

pub mod late_entry;
pub mod long_paths;
pub mod moved_store;
pub mod odd_entry;
pub mod same_id;

use std::time::Duration;

use crate::{daemon::Daemon, http, record::Record};

/// What broke the rule; empty if it held.
pub type Outcome = Result<Vec<String>, String>;

/// The daemon, started as the deploy file says from the root of the repository.
pub const PROGRAM: &str = "target/release/fireflydrumd";
/// Host name of all routes.
const HOST: &str = "a.example";

/// A route of a configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
}

/// The text of a configuration.
pub fn config(version: u64, services: &[&str], routes: &[Route]) -> String {
    let service = |it: &&str| {
        format!(
            "{{\"name\":\"{it}\",\"health_path\":\"/healthz\",\"max_conns\":220,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let route = |it: &Route| {
        let Route { prefix, kind, service } = it;
        let name = prefix.trim_matches('/');
        format!(
            "{{\"name\":\"r-{name}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":3000,\"target_latency_ms\":400,\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":2}}"
        )
    };
    let services: Vec<_> = services.iter().map(service).collect();
    let routes: Vec<_> = routes.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"virtual_hosts\":[{{\"hostname\":\"{HOST}\",\"paths\":[{}]}}]}}",
        services.join(","),
        routes.join(",")
    )
}

/// Sends a request to a daemon on a connection of its own and records the answer.
pub fn send(
    record: &Record,
    daemon: &Daemon,
    method: &str,
    path: &str,
    id: &str,
) -> Result<http::Message, String> {
    record.line(&format!("client sends {id}: {method} {path}"));
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Fireflydrum-Request-Id: {id}\r\n\
         X-Fireflydrum-Deadline-Ms: 3000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    let res = http::call(daemon.settings.caller, &request, Duration::from_secs(4));
    match &res {
        Ok(it) => {
            let body = String::from_utf8_lossy(&it.body).into_owned();
            record.line(&format!("client gets {} for {id}: {body}", it.status()));
        }
        Err(e) => record.line(&format!("client gets nothing for {id}: {e}")),
    }
    res
}

//! Header names, paths and formats used with callers and upstreams.

use crate::load::Report;

/// Names of headers and paths. The default is fireflydrum's own interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Names {
    /// Id of a caller's attempt, which the upstream echoes in its answer.
    pub request_id: &'static str,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: &'static str,
    /// Instance that a request is meant for; any other instance answers 421.
    pub expected_instance: &'static str,
    /// Says that the upstream did not run the request.
    pub not_run: &'static str,
    /// Signature that an upstream adds to answers it made itself.
    pub signature: &'static str,
    /// Load report of the upstream.
    pub load: &'static str,
    /// Says that the answering upstream is leaving.
    pub leaving: &'static str,
    /// Instance that answers a health check.
    pub instance: &'static str,
    /// Time for which the answering upstream is still cold, in milliseconds.
    pub cold_ms: &'static str,
    /// Key of the caller's tenant; never passed on.
    pub credential: &'static str,
    /// Name of the caller's tenant, as set by the daemon.
    pub tenant: &'static str,
    /// Path of the directory of entry hosts.
    pub directory_path: &'static str,
    /// Path of the readiness check.
    pub ready_path: &'static str,
}

impl Default for Names {
    fn default() -> Self {
        Self {
            request_id: "fireflydrum-attempt",
            deadline_ms: "fireflydrum-deadline-ms",
            expected_instance: "fireflydrum-expected-instance",
            not_run: "fireflydrum-shed",
            signature: "fireflydrum-signature",
            load: "fireflydrum-load",
            leaving: "fireflydrum-leaving",
            instance: "fireflydrum-instance",
            cold_ms: "fireflydrum-cold-ms",
            credential: "fireflydrum-credential",
            tenant: "fireflydrum-tenant",
            directory_path: "/fireflydrum/entry",
            ready_path: "/fireflydrum/ready",
        }
    }
}

/// Names and formats used with callers and upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Protocol {
    /// Names of headers and paths.
    pub names: Names,
    /// Parses the load report in a header; returns `None` if it is invalid.
    pub parse_load: fn(&[u8]) -> Option<Report>,
    /// Formats the body of a directory answer; `keep` is the time for which callers may cache it.
    pub directory: fn(&[std::net::SocketAddr], keep: std::time::Duration) -> String,
}

//! Names and formats that the request path exchanges with callers and upstreams.

use crate::load::Report;

/// Names of headers and paths; the default is the product's own interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Names {
    /// Id of one attempt of a caller, which the upstream repeats on its answer.
    pub request_id: &'static str,
    /// Milliseconds that remain until the deadline.
    pub deadline_ms: &'static str,
    /// Instance that a request is meant for; any other one answers 421.
    pub expected_instance: &'static str,
    /// States that the upstream did not run the request.
    pub not_run: &'static str,
    /// Signature of an upstream on an answer that it made itself.
    pub signature: &'static str,
    /// Load of the upstream.
    pub load: &'static str,
    /// Path that callers ask for the addresses of entry hosts.
    pub directory_path: &'static str,
    /// Path that is asked whether the daemon is ready.
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
            directory_path: "/fireflydrum/entry",
            ready_path: "/fireflydrum/ready",
        }
    }
}

/// Names and formats together.
#[derive(Clone, Copy, Debug)]
pub struct Protocol {
    /// Names of headers and paths.
    pub names: Names,
    /// Reads the load that an upstream reports in a header; none if it can't be read.
    pub parse_load: fn(&[u8]) -> Option<Report>,
    /// Body of the answer to a caller that asks for entry hosts.
    pub directory: fn(&[std::net::SocketAddr], keep: std::time::Duration) -> String,
}

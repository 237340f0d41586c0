//! Names of the headers that callers, daemons and backend servers exchange.

use hyper::{HeaderMap, header, header::HeaderName};

/// Outcome of a request: `done`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("fireflydrum-outcome");
/// Id of a request, for `explain`.
pub const REQUEST: HeaderName = HeaderName::from_static("fireflydrum-request");
/// Id of one attempt. If a backend server repeats it in its answer, the daemon detects an answer to
/// another attempt.
pub const ATTEMPT: HeaderName = HeaderName::from_static("fireflydrum-attempt");
/// Milliseconds that remain until the deadline.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("fireflydrum-deadline-ms");
/// Load of a backend server, in its answers.
pub const LOAD: HeaderName = HeaderName::from_static("fireflydrum-load");
/// Key that identifies repeats of an order.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Number up to which a caller has received all outcomes of its session.
pub const ACKNOWLEDGED: HeaderName = HeaderName::from_static("fireflydrum-acknowledged");
/// Why a backend server did not run a request; its presence makes the attempt safe to repeat.
pub const SHED: HeaderName = HeaderName::from_static("fireflydrum-shed");
/// Value of [`SHED`] from a backend server that is leaving.
pub const SHED_DRAIN: &str = "drain";
/// Name of the caller, for fairness between callers; defaults to its IP address.
pub const CALLER: HeaderName = HeaderName::from_static("fireflydrum-caller");
/// Entry hosts to use instead, from a host that is leaving.
pub const ENTRY: HeaderName = HeaderName::from_static("fireflydrum-entry");

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the headers that concern one connection only, also those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for it in connection_options(headers) {
        headers.remove(it);
    }
    for it in &HOP_BY_HOP {
        headers.remove(it);
    }
}

fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect()
}

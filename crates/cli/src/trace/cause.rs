//! Explains a log line about a request.

use super::Line;

/// Values of `reason` and their meaning.
const REASONS: [(&str, &str); 19] = [
    (
        "overload",
        "no upstream had a free slot in time; the request was refused before it reached an upstream",
    ),
    (
        "displaced",
        "the request waited for a free slot and was refused in favour of others of more value",
    ),
    ("expired", "the request waited for a free slot until it could no longer be answered in time"),
    ("no-upstream", "no upstream of the service accepted new requests"),
    (
        "upstreams-refused",
        "each upstream that was tried refused the request or could not be reached",
    ),
    ("upstream-failed", "an attempt may have run, but no complete answer was received"),
    ("upstream-late", "an attempt had no answer at the deadline of the caller or the route"),
    ("deadline", "the deadline passed before the request reached an upstream"),
    ("caller-left", "the caller closed the connection; attempts in flight were cancelled"),
    (
        "no-route",
        "no route of the configuration named in the line matches the host and path of the request",
    ),
    ("unauthorized", "the request did not carry exactly one key that the configuration has"),
    ("quota", "the tenant had used up its quota"),
    ("route-changed", "the route no longer led to this service when the request was to be sent"),
    ("not-ready", "the host had no configuration yet"),
    (
        "config-incomplete",
        "the request may be allowed by a part of the configuration that can't be read",
    ),
    (
        "config-outdated",
        "the request may be allowed by a newer configuration, which the host may lack",
    ),
    ("bad-request", "the request has no host, no id or a malformed target or deadline"),
    ("body-memory", "bodies of other requests used all the memory for bodies"),
    ("leaving", "the host was leaving"),
];

/// Prefixes of the values of `result` and their meaning.
const RESULTS: [(&str, &str); 9] = [
    ("connection-broke", "the connection broke after the request was sent"),
    ("garbled", "the bytes received were not a complete answer to the request"),
    ("a-success-without", "the answer reported success without the signature of the upstream"),
    ("refused-with", "the upstream refused the request and did not run it"),
    ("no-connection", "no connection could be opened, so nothing was sent"),
    ("not-sent", "an idle connection turned out to be closed, so nothing was sent"),
    ("the-upstream-leaves", "the upstream started to leave before anything was sent"),
    ("unanswered", "there was no answer before the deadline"),
    ("cancelled", "another attempt was answered first"),
];

/// Explains a log line about a request.
#[must_use]
pub fn cause(line: &Line) -> String {
    let reason = line.get("reason").unwrap_or_default();
    let status = line.get("status").unwrap_or("?");
    let mut res = match REASONS.iter().find(|it| it.0 == reason) {
        Some((_, meaning)) => format!("{status}: {meaning}"),
        None if reason == "-" => format!("{status}: an upstream answered"),
        None => format!("{status}: {reason}"),
    };
    let is_not_run = matches!(status, "408" | "421" | "429" | "503");
    res.push_str(if is_not_run { "; the request was not run" } else { "" });
    for (upstream, result) in line.attempts() {
        let found = RESULTS.iter().find(|it| result.starts_with(it.0));
        let meaning = found.map_or(result, |it| it.1);
        res.push_str("; ");
        res.push_str(upstream);
        res.push_str(": ");
        res.push_str(meaning);
    }
    res
}

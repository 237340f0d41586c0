//! Explains a log line about a request.

use super::Line;

/// Values of `reason` and their meaning.
const REASONS: [(&str, &str); 12] = [
    ("overload", "no upstream had a free slot in time; it was refused before any upstream got it"),
    ("no-upstream", "no upstream of the service accepted new requests"),
    ("upstreams-refused", "each upstream that was tried refused it or could not be reached"),
    ("upstream-failed", "an attempt may have run and its whole answer never came"),
    ("upstream-late", "an attempt was still unanswered at the deadline of the caller or the route"),
    ("deadline", "its deadline passed before any upstream got it"),
    ("caller-left", "its caller closed the connection; attempts in flight were cancelled"),
    ("no-route", "no route of the configuration named in the line matches its host and path"),
    ("not-ready", "the host had no configuration yet"),
    ("bad-request", "it has no host, no id or a malformed target or deadline"),
    ("body-memory", "the memory for bodies was used up by other requests"),
    ("leaving", "the host was leaving"),
];

/// Prefixes of the values of `result` and their meaning.
const RESULTS: [(&str, &str); 9] = [
    ("connection-broke", "the connection broke after the request was sent"),
    ("garbled", "the bytes received were not a complete answer to it"),
    ("a-success-without", "the answer had no signature of the upstream"),
    ("refused-with", "the upstream refused it and did not run it"),
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
    let promises = matches!(status, "408" | "421" | "429" | "503");
    res.push_str(if promises { "; it has not run" } else { "" });
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

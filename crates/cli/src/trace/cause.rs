//! What a line about a request says in words.

use super::Line;

/// Reasons that lines name, and what they mean.
const REASONS: [(&str, &str); 12] = [
    ("overload", "no upstream had room in time; it was refused before any was given it"),
    ("no-upstream", "no upstream of the service took new work"),
    ("upstreams-refused", "each upstream that was tried refused it or could not be reached"),
    ("upstream-failed", "an attempt may have run and its whole answer never came"),
    (
        "upstream-late",
        "an attempt was still unanswered when the caller's or the route's time ended",
    ),
    ("deadline", "its time ended before any upstream was given it"),
    ("caller-left", "its caller closed the connection; attempts in progress were cancelled"),
    ("no-route", "no route of the configuration named in the line matches its host and path"),
    ("not-ready", "the host knew no configuration yet"),
    ("bad-request", "it has no host, no id or a malformed target or deadline"),
    ("body-memory", "bodies of other requests held the memory for bodies"),
    ("leaving", "the host was leaving"),
];

/// Results of attempts by their beginning, and what they mean.
const RESULTS: [(&str, &str); 9] = [
    ("connection-broke", "the connection broke after the request was sent"),
    ("garbled", "the bytes received were no whole answer to it"),
    ("a-success-without", "the answer had no signature of the upstream"),
    ("refused-with", "the upstream refused it and did not run it"),
    ("no-connection", "no connection could be opened, so nothing was sent"),
    ("not-sent", "an idle connection was found closed, so nothing was sent"),
    ("the-upstream-leaves", "the upstream began to leave before anything was sent"),
    ("unanswered", "no answer had come when the time ended"),
    ("cancelled", "another attempt was answered first"),
];

/// What a line about a request says in words.
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

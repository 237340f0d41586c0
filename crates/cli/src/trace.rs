//! Collects what the log lines of one or more daemons contain about a request.
//!
//! This module does no I/O; the verb reads the files.

mod cause;
mod line;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

pub use cause::cause;
pub use line::Line;
use serde::Serialize;

/// Time before the end of a request from which state changes are included, in milliseconds. It
/// exceeds the time limits within which a daemon applies configurations and upstreams' leaving.
const WINDOW_BEFORE_MS: u64 = 10_000;
/// Time after the end of a request from which state changes are included, in milliseconds. Upstreams
/// that crash are removed from the registry after three of their heartbeats.
const WINDOW_AFTER_MS: u64 = 6_000;
/// Time before and after the end of a request in which attempts of other requests at the same
/// upstreams are counted, in milliseconds.
const CONCURRENT_WINDOW_MS: u64 = 5_000;
/// State changes that are always included, whichever upstreams the request reached.
const HOST_STATE_EVENTS: [&str; 8] = [
    "start",
    "stopping",
    "stop",
    "reload",
    "store-lost",
    "store-regained",
    "was-suspended",
    "config-in-force",
];

/// The log lines that explain the outcome of a request.
#[derive(Debug, Serialize)]
pub struct Trace {
    /// Id of the request.
    pub request: String,
    /// The lines about the request with their causes, one for each entry host that it reached.
    pub decisions: Vec<Decision>,
    /// State changes on these hosts shortly before and after, ordered by time.
    #[serde(rename = "beliefs")]
    pub state_changes: Vec<Line>,
    /// Number of results of other attempts at the same upstreams shortly before and after, by upstream
    /// and result.
    #[serde(rename = "neighbours")]
    pub concurrent_results: BTreeMap<String, BTreeMap<String, usize>>,
}

/// The decision of one entry host.
#[derive(Debug, Serialize)]
pub struct Decision {
    /// Log line of the decision.
    pub line: Line,
    /// Explanation of the line.
    pub cause: String,
}

impl Trace {
    /// Creates the trace of a request from the lines of all hosts, or returns `None` if no line names
    /// the request.
    ///
    /// The clocks of hosts may differ, so only state changes on hosts that the request reached are
    /// included, and times are compared only within a host.
    #[must_use]
    pub fn new(request: &str, lines: &[Line]) -> Option<Self> {
        let is_own = |it: &&Line| it.event() == "request" && it.get("id") == Some(request);
        let mut own: Vec<_> = lines.iter().filter(is_own).cloned().collect();
        own.sort_by_key(|it| it.time_ms);
        if own.is_empty() {
            return None;
        }
        let upstreams: BTreeSet<_> = own.iter().flat_map(Line::upstreams).collect();
        let state_changes = state_changes(&own, &upstreams, lines);
        let concurrent_results = concurrent_results(&own, &upstreams, lines);
        let decide = |line: Line| Decision { cause: cause(&line), line };
        let decisions = own.into_iter().map(decide).collect();
        Some(Self { request: request.to_owned(), decisions, state_changes, concurrent_results })
    }
}

/// State changes on the hosts of the `own` lines that concern these, ordered by time.
fn state_changes(own: &[Line], upstreams: &BTreeSet<&str>, lines: &[Line]) -> Vec<Line> {
    let is_relevant = |it: &&Line| {
        let names_upstream = it.get("upstream").is_some_and(|it| upstreams.contains(it));
        it.get("target") == Some("belief")
            && (names_upstream || HOST_STATE_EVENTS.contains(&it.event()))
            && is_near(own, it, WINDOW_BEFORE_MS, WINDOW_AFTER_MS)
    };
    let mut res: Vec<_> = lines.iter().filter(is_relevant).cloned().collect();
    res.sort_by(|a, b| (a.time_ms, &a.host).cmp(&(b.time_ms, &b.host)));
    res
}

/// Results of other attempts at the same upstreams, by upstream.
fn concurrent_results(
    own: &[Line],
    upstreams: &BTreeSet<&str>,
    lines: &[Line],
) -> BTreeMap<String, BTreeMap<String, usize>> {
    let is_other = |it: &&Line| {
        it.event() == "request"
            && !own.contains(it)
            && is_near(own, it, CONCURRENT_WINDOW_MS, CONCURRENT_WINDOW_MS)
    };
    let attempts = lines.iter().filter(is_other).flat_map(Line::attempts);
    let mut res: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
    for (upstream, result) in attempts.filter(|it| upstreams.contains(it.0)) {
        *res.entry(upstream.to_owned()).or_default().entry(result.to_owned()).or_default() += 1;
    }
    res
}

/// Whether a line is from the host of one of the `own` lines, at most `before_ms` before or
/// `after_ms` after it.
fn is_near(own: &[Line], line: &Line, before_ms: u64, after_ms: u64) -> bool {
    own.iter().any(|own| {
        let times = own.time_ms.saturating_sub(before_ms)..=own.time_ms.saturating_add(after_ms);
        own.host == line.host && times.contains(&line.time_ms)
    })
}

impl fmt::Display for Trace {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "request {}", self.request)?;
        for it in &self.decisions {
            writeln!(out, "{}\n  {}", it.line, it.cause)?;
        }
        if !self.state_changes.is_empty() {
            writeln!(out, "what these hosts believed around then:")?;
            self.state_changes.iter().try_for_each(|it| writeln!(out, "  {it}"))?;
        }
        for (upstream, results) in &self.concurrent_results {
            write!(out, "other logged attempts at {upstream} around then:")?;
            results.iter().try_for_each(|(result, count)| write!(out, " {count} {result}"))?;
            writeln!(out)?;
        }
        Ok(())
    }
}

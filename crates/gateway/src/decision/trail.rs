//! What was decided for one request.

use std::{
    fmt,
    time::{Duration, Instant},
};

use crate::{
    config::{RouteId, ServiceId, Version},
    registry::UpstreamId,
};

/// Longest part of a caller's id that is logged.
const MAX_ID: usize = 64;

/// Kind of a request that was answered at the first attempt.
pub const SUCCESS: &str = "success";

/// One attempt at an upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Upstream that was chosen.
    pub upstream: UpstreamId,
    /// Age of the newest report about it at the choice; none if there was none.
    pub report_age: Option<Duration>,
    /// Pace that was reported then, as a factor of the usual time.
    pub pace: Option<f64>,
    /// What came of it.
    pub result: String,
    /// Time from the choice to the result.
    pub took: Duration,
}

/// What was decided for one request.
#[derive(Clone, Debug)]
pub struct Trail {
    /// Id that the caller gave the request.
    pub id: String,
    /// When the request was read.
    pub received: Instant,
    /// Time that was left then.
    pub left: Duration,
    /// Version of the configuration; 0 if there was none.
    pub version: Version,
    /// Route that matched.
    pub route: Option<RouteId>,
    /// Service that was to answer.
    pub service: Option<ServiceId>,
    /// Time until the first upstream was chosen.
    pub waited: Duration,
    /// Attempts, in the order in which they ended.
    pub attempts: Vec<Attempt>,
    /// Why the request was refused or failed; empty if it was answered.
    pub reason: &'static str,
}

impl Trail {
    /// A trail on which nothing was decided yet.
    #[must_use]
    pub fn new(id: Option<&[u8]>, received: Instant) -> Self {
        Self {
            id: printable(id.unwrap_or_default()),
            received,
            left: Duration::ZERO,
            version: 0,
            route: None,
            service: None,
            waited: Duration::ZERO,
            attempts: Vec::new(),
            reason: "",
        }
    }

    /// In which way a request ended that was told `status`: the reason, or what an upstream answered.
    #[must_use]
    pub fn kind(&self, status: u16) -> &'static str {
        match status {
            _ if !self.reason.is_empty() => self.reason,
            400.. => "upstream-error",
            _ if self.attempts.len() > 1 => "repeated",
            _ => SUCCESS,
        }
    }

    /// The line for a request that ended with `status`; 0 if its caller went away.
    #[must_use]
    pub fn line(&self, status: u16, now: Instant) -> String {
        let attempts: Vec<_> = self.attempts.iter().map(ToString::to_string).collect();
        format!(
            "event=request id={} status={status} reason={} route={} service={} config={} left_ms={} \
             waited_ms={} took_ms={} attempts=[{}]",
            self.id,
            if self.reason.is_empty() { "-" } else { self.reason },
            self.route.as_deref().unwrap_or("-"),
            self.service.as_deref().unwrap_or("-"),
            self.version,
            self.left.as_millis(),
            self.waited.as_millis(),
            now.saturating_duration_since(self.received).as_millis(),
            attempts.join(" "),
        )
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "(upstream={} result={} took_ms={}",
            self.upstream,
            self.result,
            self.took.as_millis()
        )?;
        if let (Some(age), Some(pace)) = (self.report_age, self.pace) {
            write!(out, " pace={pace:.2} report_age_ms={}", age.as_millis())?;
        }
        out.write_str(")")
    }
}

/// Bytes that a caller chose, made safe for a log line.
fn printable(bytes: &[u8]) -> String {
    let safe = |it: &u8| {
        let it = char::from(*it);
        if it.is_ascii_alphanumeric() || "-_.:".contains(it) { it } else { '?' }
    };
    bytes.iter().take(MAX_ID).map(safe).collect()
}

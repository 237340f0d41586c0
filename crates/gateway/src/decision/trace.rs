//! The decisions taken for a request.

use std::{
    fmt,
    time::{Duration, Instant},
};

use super::Origin;
use crate::{
    config::{RouteId, ServiceId, TenantId, Version},
    registry::UpstreamId,
};

/// Number of bytes of a caller's id that are logged.
const MAX_ID_BYTES: usize = 64;

/// Kind of a request answered at the first attempt.
pub const SUCCESS: &str = "success";

/// One attempt at an upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The chosen upstream.
    pub upstream: UpstreamId,
    /// Age of the upstream's last report when it was chosen, if there was one.
    pub report_age: Option<Duration>,
    /// Pace in that report, as a factor of the usual time.
    pub pace: Option<f64>,
    /// Time from reading the request to the choice of the upstream.
    pub at: Duration,
    /// Result of the attempt.
    pub result: String,
    /// Time from the choice to the result.
    pub took: Duration,
}

/// The decisions taken for a request.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Id that the caller gave the request.
    pub id: String,
    /// When the request was read.
    pub received: Instant,
    /// Time limit of the request from then on.
    pub time_left: Duration,
    /// Version of the configuration; 0 if there was none.
    pub version: Version,
    /// Route that matched.
    pub route: Option<RouteId>,
    /// Tenant of the request, if it has one.
    pub tenant: Option<TenantId>,
    /// Service chosen for the request.
    pub service: Option<ServiceId>,
    /// Time until the first upstream was chosen.
    pub waited: Duration,
    /// Attempts in the order in which they ended.
    pub attempts: Vec<Attempt>,
    /// Why the request was refused or failed; empty if it was answered.
    pub reason: &'static str,
    /// Who made the answer.
    pub origin: Origin,
}

impl Trace {
    /// Creates the trace of a request just read.
    #[must_use]
    pub fn new(id: Option<&[u8]>, received: Instant) -> Self {
        Self {
            id: printable(id.unwrap_or_default()),
            received,
            time_left: Duration::ZERO,
            version: 0,
            route: None,
            tenant: None,
            service: None,
            waited: Duration::ZERO,
            attempts: Vec::new(),
            reason: "",
            origin: Origin::Daemon,
        }
    }

    /// Kind of the result: the reason, or the kind of the upstream's answer with `status`.
    #[must_use]
    pub fn kind(&self, status: u16) -> &'static str {
        match status {
            _ if !self.reason.is_empty() => self.reason,
            400.. => "upstream-error",
            _ if self.attempts.len() > 1 => "repeated",
            _ => SUCCESS,
        }
    }

    /// Log line for a request that ended with `status`, which is 0 if its caller closed the
    /// connection.
    #[must_use]
    pub fn log_line(&self, status: u16, now: Instant) -> String {
        let attempts: Vec<_> = self.attempts.iter().map(ToString::to_string).collect();
        format!(
            "event=request id={} status={status} reason={} origin={} route={} tenant={} service={} config={} left_ms={} \
             waited_ms={} took_ms={} attempts=[{}]",
            self.id,
            if self.reason.is_empty() { "-" } else { self.reason },
            self.origin.name(),
            self.route.as_deref().unwrap_or("-"),
            self.tenant.as_deref().map_or_else(|| "-".to_owned(), |it| printable(it.as_bytes())),
            self.service.as_deref().unwrap_or("-"),
            self.version,
            self.time_left.as_millis(),
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
            "(upstream={} result={} at_ms={} took_ms={}",
            self.upstream,
            self.result,
            self.at.as_millis(),
            self.took.as_millis()
        )?;
        if let (Some(age), Some(pace)) = (self.report_age, self.pace) {
            write!(out, " pace={pace:.2} report_age_ms={}", age.as_millis())?;
        }
        out.write_str(")")
    }
}

/// Replaces all but harmless characters of caller-supplied bytes for a log line.
fn printable(bytes: &[u8]) -> String {
    let safe = |it: &u8| {
        let it = char::from(*it);
        if it.is_ascii_alphanumeric() || "-_.:".contains(it) { it } else { '?' }
    };
    bytes.iter().take(MAX_ID_BYTES).map(safe).collect()
}

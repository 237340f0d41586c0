//! Error answers of the daemon itself.

use std::time::Duration;

use crate::dispatcher;

/// `Retry-After` while the daemon has no configuration.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` while a part of the configuration can't be read: operators have to publish another.
const INCOMPLETE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` while the daemon is leaving: other hosts serve, and the directory lists only them.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// `Retry-After` where a newer configuration is in force, or may be at once.
const CONFIG_CHANGED_RETRY_AFTER: Duration = Duration::from_millis(20);

/// An error answer of the daemon itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Status sent to the caller.
    pub status: u16,
    /// Reason, for logs and metrics.
    pub reason: &'static str,
    /// Explanation for the caller.
    pub message: String,
    /// When the caller may retry; only with statuses that promise that the request has not run.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// The request is malformed; `reason` says in which part.
    #[must_use]
    pub fn bad_request(reason: &'static str, message: impl Into<String>) -> Self {
        Self { status: 400, reason, message: message.into(), retry_after: None }
    }

    /// No route matches.
    #[must_use]
    pub fn no_route() -> Self {
        let message = "no route matches this host and path".to_owned();
        Self { status: 404, reason: "no-route", message, retry_after: None }
    }

    /// The request carries no key of a tenant, or more than one.
    #[must_use]
    pub fn unauthorized() -> Self {
        let message = "the request does not carry the key of a tenant".to_owned();
        Self { status: 401, reason: "unauthorized", message, retry_after: None }
    }

    /// The tenant has used up its quota.
    #[must_use]
    pub fn quota(retry_after: Duration) -> Self {
        let message = "the request was not run: the tenant's quota is used up".to_owned();
        Self { status: 429, reason: "quota", message, retry_after: Some(retry_after) }
    }

    /// The configuration has changed while the request waited, so that it can't run as it was
    /// accepted. A new attempt of the caller runs, or is denied, under the new configuration.
    #[must_use]
    pub fn route_changed() -> Self {
        let message = "the request was not run: its route or key has changed meanwhile".to_owned();
        Self::not_run("route-changed", message, CONFIG_CHANGED_RETRY_AFTER)
    }

    /// The daemon has no configuration yet.
    #[must_use]
    pub fn not_ready() -> Self {
        let message = "this entry host has no configuration yet; use another".to_owned();
        let retry_after = Some(NOT_READY_RETRY_AFTER);
        Self { status: 503, reason: "not-ready", message, retry_after }
    }

    /// What the request needs may be in a part of the configuration that can't be read.
    #[must_use]
    pub fn config_incomplete() -> Self {
        let message =
            "the request was not run: a part of the configuration can't be read".to_owned();
        Self::not_run("config-incomplete", message, INCOMPLETE_RETRY_AFTER)
    }

    /// The configuration may not be the newest, and the newest may allow the request. What is known is
    /// checked again after `retry_after`.
    #[must_use]
    pub fn config_outdated(retry_after: Duration) -> Self {
        let message = "the request was not run: this entry host may lack the newest configuration";
        let retry_after = retry_after.max(CONFIG_CHANGED_RETRY_AFTER);
        Self::not_run("config-outdated", message.to_owned(), retry_after)
    }

    /// A limit that the request exceeds has been raised while it was read.
    #[must_use]
    pub fn limit_raised() -> Self {
        let message = "the request was not run: a limit has been raised meanwhile".to_owned();
        Self::not_run("limit-raised", message, CONFIG_CHANGED_RETRY_AFTER)
    }

    /// Whether the refusal is final and rests on the configuration: a newer one may allow the request.
    #[must_use]
    pub fn rests_on_config(&self) -> bool {
        matches!(self.status, 401 | 404)
    }

    /// The daemon is leaving and could not answer in time.
    #[must_use]
    pub fn leaving() -> Self {
        let message = "the request was not run: this entry host is leaving; use another".to_owned();
        Self::not_run("leaving", message, LEAVING_RETRY_AFTER)
    }

    /// The daemon ends while an attempt is in progress.
    #[must_use]
    pub fn stopped() -> Self {
        let message = "this entry host has stopped; the request may have run".to_owned();
        Self { status: 504, reason: "stopped", message, retry_after: None }
    }

    /// No upstream accepts requests.
    #[must_use]
    pub fn no_upstream() -> Self {
        dispatcher::Refusal::no_upstream().into()
    }

    /// The request has not run and was given up.
    #[must_use]
    pub fn not_run(reason: &'static str, message: String, retry_after: Duration) -> Self {
        Self { status: 503, reason, message, retry_after: Some(retry_after) }
    }

    /// An attempt that may have run has failed.
    #[must_use]
    pub fn upstream_failed(message: String) -> Self {
        Self { status: 502, reason: "upstream-failed", message, retry_after: None }
    }

    /// The deadline passed after an attempt that may have run.
    #[must_use]
    pub fn upstream_late() -> Self {
        let message = "no answer before the deadline; the request may have run".to_owned();
        Self { status: 504, reason: "upstream-late", message, retry_after: None }
    }
}

impl From<dispatcher::Refusal> for Refusal {
    fn from(it: dispatcher::Refusal) -> Self {
        let message = format!("the request was not run: {}", it.reason);
        Self::not_run(it.reason, message, it.retry_after)
    }
}

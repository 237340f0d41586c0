//! A service and its limits.

use ini::Keys;

use crate::{ServiceId, TeamId, name};

/// Largest probe budget of a service, in probes per second.
const MAX_PROBES_PER_S: f64 = 10_000.0;
/// Smallest size limit of a body or an answer, in bytes.
const MIN_LIMIT_BYTES: u64 = 1 << 10;
/// Largest size limit of a body or an answer, in bytes; both are buffered in memory.
const MAX_LIMIT_BYTES: u64 = 64 << 20;
/// Largest queue limit of a service on one entry host, in requests.
const MAX_QUEUE: u32 = 65_536;

/// A service: a set of interchangeable upstreams and the limits that apply to them.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Team that owns the service's sections.
    pub owner: TeamId,
    /// Load probes per second that all entry hosts together may send to the service; 0 disables probes.
    pub probe_budget_per_s: f64,
    /// Path of the load probe.
    pub probe_path: String,
    /// Retries and hedges allowed per successful request, in percent.
    pub retry_budget_percent: u8,
    /// Maximum size of a request body, in bytes.
    pub body_limit_bytes: u64,
    /// Maximum size of an answer, in bytes.
    pub answer_limit_bytes: u64,
    /// Maximum number of requests that wait for a slot on one entry host.
    pub queue_limit: u32,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            id: "".into(),
            owner: "".into(),
            probe_budget_per_s: 0.0,
            probe_path: "/load".to_owned(),
            retry_budget_percent: 10,
            body_limit_bytes: 1 << 20,
            answer_limit_bytes: 8 << 20,
            queue_limit: 64,
        }
    }
}

impl Service {
    pub(crate) fn read(id: ServiceId, keys: &mut Keys<'_>) -> Self {
        keys.require(&["owner"]);
        let default = Self::default();
        Self {
            id,
            owner: keys.read("owner", name::check).unwrap_or(default.owner),
            probe_budget_per_s: keys
                .number("probe_budget_per_s", 0.0..=MAX_PROBES_PER_S, "probes a second")
                .unwrap_or(default.probe_budget_per_s),
            probe_path: keys.path("probe_path").map_or(default.probe_path, str::to_owned),
            retry_budget_percent: keys
                .number("retry_budget_percent", 0..=100, "percent")
                .unwrap_or(default.retry_budget_percent),
            body_limit_bytes: keys
                .size("body_limit", MIN_LIMIT_BYTES..=MAX_LIMIT_BYTES)
                .unwrap_or(default.body_limit_bytes),
            answer_limit_bytes: keys
                .size("answer_limit", MIN_LIMIT_BYTES..=MAX_LIMIT_BYTES)
                .unwrap_or(default.answer_limit_bytes),
            queue_limit: keys
                .number("queue_limit", 0..=MAX_QUEUE, "requests")
                .unwrap_or(default.queue_limit),
        }
    }
}

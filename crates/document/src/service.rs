//! A service and its limits.

use crate::{ServiceId, Team};

/// A service: upstreams that answer alike, and the limits that hold for it.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Team that owns the service's sections.
    pub owner: Team,
    /// Probes a second that all entry hosts together may send to the service; 0 sends none.
    pub probe_budget_per_s: f64,
    /// Path of the load probe.
    pub probe_path: String,
    /// Retries and hedges as a share of successes, in percent.
    pub retry_budget_percent: u8,
    /// Largest request body in bytes.
    pub body_limit_bytes: u64,
    /// Largest answer in bytes.
    pub answer_limit_bytes: u64,
    /// Largest number of requests that wait for a slot on one entry host.
    pub queue_limit: u32,
}

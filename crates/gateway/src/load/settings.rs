//! Parameters of the upstream choice.

use std::time::Duration;

/// Parameters of a service's upstream choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Share of an upstream's slots that all entry hosts together may fill if upstreams slow down
    /// when nearly full: beyond it, additional requests only finish later.
    pub slot_share: f64,
    /// How much more a request answered sooner is worth than another one answered at the same time.
    pub slowdown_weight: f64,
    /// Time over which a reported pace loses its weight. Load from other processes on an upstream's
    /// machine changes several times a second.
    pub pace_decay: Duration,
    /// Lower bound on the report lifetime.
    pub min_report_lifetime: Duration,
    /// Upper bound on the report lifetime.
    pub max_report_lifetime: Duration,
    /// Report lifetime, as a multiple of the mean probe time, which is what a new report costs a
    /// request.
    pub report_lifetime_probes: f64,
    /// Time after which a peer's number of requests in flight is dropped.
    pub peer_load_lifetime: Duration,
    /// Time over which failures of an upstream lose their weight.
    pub failure_decay: Duration,
    /// Cost of leaving the failure domain, as a share of a request's service time.
    pub domain_cost: f64,
    /// Pace, as a factor of the usual time, from which an upstream counts as degraded.
    pub degraded_pace: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slot_share: 0.8,
            slowdown_weight: 1.2,
            pace_decay: Duration::from_millis(200),
            min_report_lifetime: Duration::from_millis(8),
            max_report_lifetime: Duration::from_millis(40),
            report_lifetime_probes: 2.0,
            peer_load_lifetime: Duration::from_secs(2),
            failure_decay: Duration::from_secs(3),
            domain_cost: 0.5,
            degraded_pace: 1.5,
        }
    }
}

//! Settings of the choice of upstreams.

use std::time::Duration;

/// Settings of the choice of upstreams of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Share of an upstream's slots that all entry hosts together fill. Upstreams slow down when
    /// they are nearly full, so more work at one finishes later.
    pub slot_share: f64,
    /// Time after which a reported pace says nothing any more; neighbours on the same machine come
    /// and go several times a second.
    pub pace_memory: Duration,
    /// Shortest age up to which a report is taken as the present state.
    pub min_report_life: Duration,
    /// Longest age up to which a report is taken as the present state.
    pub max_report_life: Duration,
    /// Age up to which a report is taken as the present state, in times that a probe takes: asking
    /// anew costs a request so much.
    pub report_life_probes: f64,
    /// Time after which a peer's count of its requests in flight is dropped.
    pub peer_memory: Duration,
    /// Time over which failures of an upstream are forgotten.
    pub failure_memory: Duration,
    /// Cost of leaving the failure domain, as a share of a request's work.
    pub domain_cost: f64,
    /// Pace above the usual, as a factor, at which an upstream counts as disturbed.
    pub disturbed_pace: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slot_share: 0.8,
            pace_memory: Duration::from_millis(200),
            min_report_life: Duration::from_millis(8),
            max_report_life: Duration::from_millis(40),
            report_life_probes: 2.0,
            peer_memory: Duration::from_secs(2),
            failure_memory: Duration::from_secs(3),
            domain_cost: 0.5,
            disturbed_pace: 1.5,
        }
    }
}

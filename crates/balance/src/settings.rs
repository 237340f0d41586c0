//! Settings of a balancer.

use std::time::Duration;

/// Settings of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Entry hosts that may be running, until [`set_hosts`](crate::Balancer::set_hosts) changes the
    /// number; they share the probe budget evenly.
    pub hosts: u32,
    /// Upstreams weighed for one choice; all are weighed if the service has no more.
    pub sample_size: usize,
    /// Candidates whose expected time exceeds the best by at most this count as equal, in percent.
    pub tie_percent: u32,
    /// Service time assumed before the first answer.
    pub initial_service_time: Duration,
    /// Minimum time constant with which an upstream's service time decays to the service's mean.
    pub service_time_decay: Duration,
    /// Weight of the service's mean in an upstream's service time, in answers.
    pub prior_answers: f64,
    /// Time constant, in service times, with which a report or a peer's digest decays to the
    /// service's mean.
    pub report_decay: f64,
    /// Part of the time from dispatch to the first byte of the answer that is spent on the network.
    pub round_trip: Duration,
    /// Time added to the expected time of an upstream in another failure domain.
    pub remote_penalty: Duration,
    /// Assumed cost of a certain failure, in service times.
    pub failure_penalty: f64,
    /// Time constant with which past failures decay.
    pub failure_decay: Duration,
    /// Consecutive failures after which an upstream is ejected.
    pub eject_after: u32,
    /// Duration of the first ejection; each further one doubles it.
    pub base_ejection_time: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection_time: Duration,
    /// Maximum share of the upstreams that may be ejected at once, in percent.
    pub max_ejection_percent: u32,
    /// Share of failing upstreams above which failures and ejections are ignored, in percent.
    pub panic_threshold_percent: u32,
    /// Time over which a new or readmitted upstream is raised to its full limit.
    pub slow_start: Duration,
    /// Requests that may be sent to an upstream beyond its slots, in percent of the slots.
    pub headroom_percent: u32,
    /// Queue length that an upstream may report before this host's limit is reduced, in percent of
    /// the slots.
    pub queue_percent: u32,
    /// Time after which a peer's digest is dropped.
    pub digest_ttl: Duration,
    /// Probes a second that all entry hosts together may send; 0 disables probes.
    pub probe_budget_per_s: f64,
    /// Maximum number of probes in a burst.
    pub probe_burst: u32,
    /// Age of the last report or probe after which an upstream is probed.
    pub probe_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            hosts: 1,
            sample_size: 32,
            tie_percent: 3,
            initial_service_time: Duration::from_millis(10),
            service_time_decay: Duration::from_millis(200),
            prior_answers: 2.0,
            report_decay: 2.0,
            round_trip: Duration::from_millis(1),
            remote_penalty: Duration::from_micros(500),
            failure_penalty: 10.0,
            failure_decay: Duration::from_secs(5),
            eject_after: 5,
            base_ejection_time: Duration::from_secs(1),
            max_ejection_time: Duration::from_secs(30),
            max_ejection_percent: 30,
            panic_threshold_percent: 50,
            slow_start: Duration::from_secs(2),
            headroom_percent: 200,
            queue_percent: 50,
            digest_ttl: Duration::from_millis(500),
            probe_budget_per_s: 0.0,
            probe_burst: 1,
            probe_after: Duration::from_millis(100),
        }
    }
}

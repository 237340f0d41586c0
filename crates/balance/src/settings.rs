//! Settings of a balancer.

use std::time::Duration;

/// Settings of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Entry hosts that may be at work, until [`set_hosts`](crate::Balancer::set_hosts) says
    /// otherwise; they share the probe budget evenly.
    pub hosts: u32,
    /// Upstreams weighed for one choice; all are weighed if the service has no more.
    pub sample: usize,
    /// Candidates whose expected time is this much longer than the best one's count as equal, in
    /// percent.
    pub tie_percent: u32,
    /// Service time assumed before any answer.
    pub initial_service_time: Duration,
    /// Least time constant with which an upstream's own service time returns to the service's mean.
    pub speed_memory: Duration,
    /// Answers' worth of weight that the service's mean has in an upstream's service time.
    pub speed_prior: f64,
    /// Time constant, in service times, with which a report or a peer's digest fades into the
    /// service's mean.
    pub report_memory: f64,
    /// Time from dispatch to arrival of the answer's first byte that is spent on the network.
    pub round_trip: Duration,
    /// Extra time that an upstream in another failure domain is assumed to take.
    pub remote_cost: Duration,
    /// Service times that a certain failure is assumed to cost.
    pub failure_cost: f64,
    /// Time constant with which past failures are forgotten.
    pub failure_memory: Duration,
    /// Failures in a row after which an upstream is ejected.
    pub eject_after: u32,
    /// Duration of a first ejection; each further one doubles it.
    pub eject_for: Duration,
    /// Longest duration of an ejection.
    pub eject_at_most: Duration,
    /// Largest share of the upstreams that may be ejected at once, in percent.
    pub ejected_percent: u32,
    /// Share of failing upstreams above which no sign of failure is trusted, in percent.
    pub distrust_percent: u32,
    /// Time over which a new or re-admitted upstream is brought to its full limit.
    pub ramp: Duration,
    /// Requests beyond its slots that an upstream is given, in percent of the slots.
    pub headroom_percent: u32,
    /// Queue that an upstream may report before own requests to it are reduced, in percent of the
    /// slots.
    pub queue_percent: u32,
    /// Time after which a peer's digest is dropped.
    pub digest_life: Duration,
    /// Probes a second that all entry hosts together may send; 0 sends none.
    pub probe_budget_per_s: f64,
    /// Probes that may be saved up for a burst.
    pub probe_burst: u32,
    /// Age of a report from which a probe is worth its cost.
    pub probe_age: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            hosts: 1,
            sample: 32,
            tie_percent: 3,
            initial_service_time: Duration::from_millis(10),
            speed_memory: Duration::from_millis(200),
            speed_prior: 2.0,
            report_memory: 2.0,
            round_trip: Duration::from_millis(1),
            remote_cost: Duration::from_micros(500),
            failure_cost: 10.0,
            failure_memory: Duration::from_secs(5),
            eject_after: 5,
            eject_for: Duration::from_secs(1),
            eject_at_most: Duration::from_secs(30),
            ejected_percent: 30,
            distrust_percent: 50,
            ramp: Duration::from_secs(2),
            headroom_percent: 200,
            queue_percent: 50,
            digest_life: Duration::from_millis(500),
            probe_budget_per_s: 0.0,
            probe_burst: 1,
            probe_age: Duration::from_millis(100),
        }
    }
}

//! Loads of daemons by service.

use crate::ServiceIndex;

/// Load of one service on one daemon; serialized as a tuple to save space.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Load {
    /// Index of the service in the configuration version that is sent in the same message.
    pub service: ServiceIndex,
    /// Requests in flight from the daemon to backend servers of the service.
    pub in_flight: u32,
    /// Requests for the service that wait at the daemon.
    pub queued: u32,
}

/// Mean load of a service per daemon, estimated from recent reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Number of daemons in the estimate.
    pub daemons: u32,
    /// Mean number of requests in flight from a daemon.
    pub in_flight: f64,
    /// Mean number of requests that wait at a daemon.
    pub queued: f64,
}

impl Estimate {
    /// The mean of the loads of several daemons.
    pub(crate) fn mean(loads: impl Iterator<Item = Load>) -> Self {
        let mut daemons = 0_u32;
        let mut in_flight = 0_u64;
        let mut queued = 0_u64;
        for it in loads {
            daemons += 1;
            in_flight += u64::from(it.in_flight);
            queued += u64::from(it.queued);
        }
        Self { daemons, in_flight: ratio(in_flight, daemons), queued: ratio(queued, daemons) }
    }
}

/// Sums are far below 2⁵³, up to which `f64` represents integers exactly.
#[allow(clippy::cast_precision_loss)]
fn ratio(sum: u64, count: u32) -> f64 {
    if count == 0 { 0.0 } else { sum as f64 / f64::from(count) }
}

type Wire = (ServiceIndex, u32, u32);

impl From<Wire> for Load {
    fn from((service, in_flight, queued): Wire) -> Self {
        Self { service, in_flight, queued }
    }
}

impl From<Load> for Wire {
    fn from(it: Load) -> Self {
        (it.service, it.in_flight, it.queued)
    }
}

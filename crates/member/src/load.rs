//! How busy daemons are with a service.

use crate::ServiceIndex;

/// How busy one daemon is with one service; it travels as a sequence of values to stay short.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Load {
    /// Place of the service in the configuration of the version told along.
    pub service: ServiceIndex,
    /// Requests that the daemon has sent to backend servers of the service and not got back.
    pub in_flight: u32,
    /// Requests that wait on the daemon for the service.
    pub queued: u32,
}

/// Load of a service on one daemon, estimated from those that told theirs of late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Daemons that the estimate rests on.
    pub daemons: u32,
    /// Mean of the requests in flight from a daemon.
    pub in_flight: f64,
    /// Mean of the requests that wait on a daemon.
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

/// Counts stay far below the range in which floating point numbers are exact.
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

//! Time as seconds since the balancer's start, for arithmetic on estimates.

use std::time::{Duration, Instant};

/// Seconds since the balancer's start.
pub(crate) type Moment = f64;

/// Seconds from `origin` to `now`; 0 if `now` is earlier.
pub(crate) fn since(origin: Instant, now: Instant) -> Moment {
    now.saturating_duration_since(origin).as_secs_f64()
}

/// Share of a past value that still counts after `age` seconds with the time constant `memory`.
pub(crate) fn fade(age: f64, memory: f64) -> f64 {
    if memory <= 0.0 { 0.0 } else { (-age.max(0.0) / memory).exp() }
}

/// The value that is a `share` of the way from `base` to `other`.
pub(crate) fn blend(base: f64, other: f64, share: f64) -> f64 {
    base + (other - base) * share
}

/// A duration of `seconds`, with values that no duration can hold cut to the nearest that one can.
pub(crate) fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}

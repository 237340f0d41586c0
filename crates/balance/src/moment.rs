//! Time as seconds since the balancer's start, for arithmetic on estimates.

use std::time::{Duration, Instant};

/// Seconds since the balancer's start.
pub(crate) type Moment = f64;

/// Seconds from `origin` to `now`; 0 if `now` is earlier.
pub(crate) fn since(origin: Instant, now: Instant) -> Moment {
    now.saturating_duration_since(origin).as_secs_f64()
}

/// Weight of a value after `age` seconds of exponential decay, with `time_constant` in seconds.
pub(crate) fn decay(age: f64, time_constant: f64) -> f64 {
    if time_constant <= 0.0 { 0.0 } else { (-age.max(0.0) / time_constant).exp() }
}

/// Interpolates linearly from `base` (at `share` 0) to `other` (at `share` 1).
pub(crate) fn lerp(base: f64, other: f64, share: f64) -> f64 {
    base + (other - base) * share
}

/// A duration of `seconds`, clamped to the range of [`Duration`].
pub(crate) fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}

//! Time for which an upstream says that it is still cold.

use std::time::Duration;

/// Longest plausible time.
const MAX: Duration = Duration::from_mins(10);

/// Time for which an upstream says that it is still cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdTime {
    /// Not a number, or negative.
    NoTime,
    /// A number beyond any slow start.
    TooLong,
    /// A plausible time.
    Valid(Duration),
}

impl ColdTime {
    /// Parses a number of milliseconds.
    #[must_use]
    pub fn parse(bytes: &[u8]) -> Self {
        let text = std::str::from_utf8(bytes).unwrap_or_default();
        match text.trim().parse::<f64>() {
            Ok(it) if it > MAX.as_secs_f64() * 1_000.0 => Self::TooLong,
            Ok(it) if it >= 0.0 => Self::Valid(Duration::from_secs_f64(it / 1_000.0)),
            _ => Self::NoTime,
        }
    }
}

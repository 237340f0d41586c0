//! Limits of the log.

use std::time::Duration;

/// Limits of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Retention of each stream.
    pub retention: Retention,
    /// Maximum number of records in one answer.
    pub page_limit: usize,
    /// Maximum size of a record, in bytes.
    pub record_limit_bytes: u64,
}

/// Retention of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Retention {
    /// Maximum number of records.
    pub count: usize,
    /// Maximum age of a record.
    pub age: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { retention: Retention::default(), page_limit: 1_000, record_limit_bytes: 8 << 20 }
    }
}

impl Default for Retention {
    fn default() -> Self {
        Self { count: 100_000, age: Duration::from_hours(24) }
    }
}

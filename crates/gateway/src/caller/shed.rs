//! Counts and logs what is refused to clients that use up memory or descriptors.

use std::fmt::Arguments;

use crate::gateway::Gateway;

/// Maximum number of log lines per second, for each kind.
const LINES_PER_S: u32 = 1;

/// Records that a body or a connection was given up.
pub(super) fn record(gateway: &Gateway, kind: &'static str, details: Arguments<'_>) {
    gateway.metrics.count_shed(kind);
    if gateway.log_limiter.borrow_mut().allows(gateway.now(), kind, LINES_PER_S) {
        log::warn!(
            target: "request",
            "event=shed kind={kind} held_bytes={} {details}", gateway.memory.used()
        );
    }
}

//! Limits and periods of the order protocol.

use std::time::Duration;

/// Limits and periods of the order protocol.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Life of a session since its issue or renewal; keep it below the log's retention, or orders
    /// of a dead daemon are answered `unknown` where `not-run` could have been proved.
    pub session_ttl: Duration,
    /// Time after a session's end in which its recorded outcomes are still answered.
    pub session_grace: Duration,
    /// Sessions held at once.
    pub session_limit: usize,
    /// Numbers above the acknowledged one that a session may use.
    pub window: u64,
    /// Requests that wait for the outcome of one order.
    pub waiter_limit: usize,
    /// Memory for recorded answers, in bytes; the oldest are dropped first.
    pub answer_limit_bytes: usize,
    /// Time for which a caller's own key is remembered; must be at most the log's retention.
    pub claim_ttl: Duration,
    /// Own keys remembered at once.
    pub claim_limit: usize,
    /// Orders in one appended record.
    pub batch_limit: usize,
    /// Least time between two appends of one daemon.
    pub append_interval: Duration,
    /// Appends without an answer at once.
    pub append_limit: usize,
    /// Time to wait for a record whose append was not answered.
    pub append_grace: Duration,
    /// Time for which outcomes are gathered before they are appended on their own.
    pub outcome_delay: Duration,
    /// Largest answer that is written to the log, in bytes; 0 writes only that the order ran.
    pub journaled_answer_limit_bytes: usize,
    /// Time between two attempts to reach the issuer of a session.
    pub forward_interval: Duration,
    /// Time without an answer after which an issuer is revoked.
    pub suspect_after: Duration,
    /// Revocations under way at once; requests of further incarnations are answered `unknown`.
    pub revocation_limit: usize,
    /// Dead incarnations whose journal is kept in memory.
    pub recovery_limit: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            session_ttl: Duration::from_mins(10),
            session_grace: Duration::from_mins(5),
            session_limit: 50_000,
            window: 256,
            waiter_limit: 8,
            answer_limit_bytes: 32 << 20,
            claim_ttl: Duration::from_hours(1),
            claim_limit: 200_000,
            batch_limit: 512,
            append_interval: Duration::from_millis(50),
            append_limit: 4,
            append_grace: Duration::from_millis(500),
            outcome_delay: Duration::from_millis(500),
            journaled_answer_limit_bytes: 512,
            forward_interval: Duration::from_millis(100),
            suspect_after: Duration::from_millis(1_500),
            revocation_limit: 8,
            recovery_limit: 32,
        }
    }
}

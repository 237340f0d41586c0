//! Limits and periods of the order protocol.

use std::time::Duration;

/// Limits and periods of the order protocol.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Lifetime of a session from its issue or renewal. It should be shorter than the log's
    /// retention; otherwise orders of a crashed daemon are answered `unknown` where `not-run` could
    /// be proved.
    pub session_ttl: Duration,
    /// Time after a session's end during which its recorded outcomes are still answered.
    pub session_grace: Duration,
    /// Maximum number of sessions.
    pub session_limit: usize,
    /// How far a session's numbers may exceed the highest acknowledged one.
    pub window: u64,
    /// Maximum number of repeats that wait for the outcome of one order.
    pub waiter_limit: usize,
    /// Memory for stored answers, in bytes; the oldest are evicted first.
    pub answer_limit_bytes: usize,
    /// Time for which a claim of a caller's own key is stored; must not exceed the log's retention.
    pub claim_ttl: Duration,
    /// Maximum number of stored claims.
    pub claim_limit: usize,
    /// Maximum number of orders in one record.
    pub batch_limit: usize,
    /// Minimum time between two appends of one daemon.
    pub append_interval: Duration,
    /// Maximum number of appends in flight.
    pub append_limit: usize,
    /// Time to wait for a record to be read if its append was not answered.
    pub append_grace: Duration,
    /// Time for which outcomes are batched before they are appended without other records.
    pub outcome_delay: Duration,
    /// Size of the largest answer that is written to the log, in bytes; 0 writes no content.
    /// For a larger answer only the fact that the order was executed is written.
    pub journaled_answer_limit_bytes: usize,
    /// Backoff between two attempts to forward a request to its issuer.
    pub forward_interval: Duration,
    /// Time without an answer from an issuer after which it is revoked.
    pub suspect_after: Duration,
    /// Maximum number of revocations in progress; requests for further incarnations are answered
    /// `unknown`.
    pub revocation_limit: usize,
    /// Maximum number of revoked incarnations whose journals are kept in memory.
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

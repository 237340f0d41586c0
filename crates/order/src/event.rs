//! What the daemon reports to the engine.

use std::time::Instant;

use bytes::Bytes;

use crate::{Batch, Fingerprint, Incarnation, Key, Number, Offset, Outcome, Stream, Ticket};

/// A request with a key that waits for an outcome.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Submission {
    /// Number of the request at this daemon.
    pub ticket: Ticket,
    /// Key of the order.
    pub key: Key,
    /// Content of the request.
    pub fingerprint: Fingerprint,
    /// When the caller gives up; nothing is dispatched from then on.
    pub deadline: Instant,
    /// Number up to which the caller has received all outcomes of the session; 0 for none.
    pub acknowledged: Number,
    /// Whether another entry host passed the request on; such a request isn't passed on again.
    pub forwarded: bool,
}

/// What a failed append may have done.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Failure {
    /// The record is certainly not in the log.
    Refused,
    /// The record may be in the log.
    Unknown,
}

/// What the daemon reports to the engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// A request with a key came.
    Submitted(Submission),
    /// Nothing of a permitted dispatch was sent: it may be permitted again.
    Unsent(Key),
    /// An order that this engine started has come to an outcome.
    Finished(Key, Outcome),
    /// The caller of a waiting request has gone.
    Abandoned(Ticket),
    /// The issuer answered a request passed on to it.
    ForwardAnswered(Ticket, Outcome),
    /// A request was not passed on, or no answer came.
    ForwardFailed {
        /// The request.
        ticket: Ticket,
        /// Whether the issuer is known to have ended, not just unreachable.
        gone: bool,
    },
    /// An append was acknowledged.
    Appended(Batch),
    /// An append failed.
    AppendFailed(Batch, Failure),
    /// The next record of a followed stream was read.
    Read {
        /// The stream.
        stream: Stream,
        /// Offset of the record.
        offset: Offset,
        /// The record.
        record: Bytes,
    },
    /// Records of a followed stream were dropped before they were read.
    Trimmed {
        /// The stream.
        stream: Stream,
        /// Offset of the oldest record kept.
        first: Offset,
    },
    /// The log was found to answer or not.
    Log {
        /// Whether it answers.
        up: bool,
    },
    /// The daemon drew a new incarnation.
    IncarnationStarted(Incarnation),
    /// Time passed.
    Tick,
}

//! Messages between the parts of a cell.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use balance::Digest;
use bytes::Bytes;
use document::Offset;
use member::{Address, Exchange};
use order::{Batch, Key, Lease, Number, Outcome, Submission, Ticket};

/// Id of a request's content. The answer carries the same id.
pub(super) type Job = u64;
/// Id of an attempt and of its connection.
pub(super) type AttemptId = u64;
/// Number of starts of an entry host. Messages to an earlier generation are lost.
pub(super) type Generation = u32;

/// Sender or receiver of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Endpoint {
    Host(usize, Generation),
    Backend(usize),
    Log,
    Caller(usize),
    Author(usize),
    Simulation,
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) caller: usize,
    pub(super) job: Job,
    pub(super) rank: &'static str,
    pub(super) is_idempotent: bool,
    pub(super) key: Option<Key>,
    pub(super) acknowledged: Number,
    pub(super) deadline: Instant,
}

impl Call {
    /// Time that a backend server needs for the request.
    pub(super) fn service(&self) -> Duration {
        Duration::from_millis(match self.rank {
            "urgent" => 10,
            "normal" => 12,
            _ => 30,
        })
    }
}

/// The reply to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reply {
    Done(Payload),
    NotRun,
    Unknown,
}

/// The body of an answer, possibly truncated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Payload {
    pub(super) job: Job,
    pub(super) attempt: AttemptId,
    pub(super) is_whole: bool,
}

/// The result of sending a request to a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) enum Response {
    Answer(Payload),
    Reset,
    ServerError,
    Shed {
        /// Whether the backend server reports that it is leaving.
        is_leaving: bool,
    },
}

/// A request to a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work {
    pub(super) host: Endpoint,
    pub(super) attempt: AttemptId,
    pub(super) job: Job,
    pub(super) is_order: bool,
    pub(super) service: Duration,
}

/// The outcome of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Append {
    Done,
    Refused,
    Unknown,
}

/// Identifies an append in its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Token {
    Batch {
        batch: Batch,
        /// Whether the record may contain the marked order.
        is_marked: bool,
    },
    Publication,
}

/// Records of a stream.
#[derive(Clone, Debug)]
pub(super) struct Page {
    pub(super) next: Offset,
    pub(super) records: Vec<(Offset, Bytes)>,
}

/// A message between the parts of a cell.
#[derive(Clone, Debug)]
pub(super) enum Message {
    // To an entry host.
    Call(Call),
    Session {
        caller: usize,
    },
    Directions {
        caller: usize,
    },
    Connected {
        attempt: AttemptId,
        is_refused: bool,
    },
    Response {
        connection: AttemptId,
        response: Response,
        load: balance::Report,
    },
    Retry(Ticket),
    Deadline(Ticket),
    Tick,
    Load {
        backend: usize,
        load: balance::Report,
    },
    Appended {
        token: Token,
        append: Append,
    },
    /// `page` is `None` if the log doesn't answer.
    Records {
        stream: String,
        page: Option<Page>,
    },
    Heartbeat {
        from: Endpoint,
        exchange: Box<Exchange>,
        digest: Digest,
        /// Backend servers that have reported that they are leaving.
        leaving: BTreeSet<usize>,
    },
    HeartbeatAnswer {
        from: Endpoint,
        exchange: Box<Exchange>,
        leaving: BTreeSet<usize>,
    },
    HeartbeatTimeout {
        to: Address,
        serial: u64,
    },
    Forward {
        from: Endpoint,
        ticket: Ticket,
        submission: Submission,
        call: Call,
    },
    Forwarded {
        ticket: Ticket,
        outcome: Outcome,
    },
    ForwardTimeout(Ticket),
    SnapshotRequest {
        from: Endpoint,
    },
    Snapshot {
        record: Vec<u8>,
        leaving: BTreeSet<usize>,
    },
    Leave,
    // To a backend server.
    Work(Work),
    Finish(Work),
    Probe {
        from: Endpoint,
    },
    // To the log.
    Append {
        from: Endpoint,
        token: Token,
        stream: String,
        record: Bytes,
    },
    Read {
        from: Endpoint,
        stream: String,
        at: Offset,
    },
    // To a caller.
    Reply {
        job: Job,
        reply: Reply,
    },
    Lease(Option<Lease>),
    Hosts(Vec<usize>),
    Next,
    CallTimeout(Job),
    RepeatCall(Job),
    // To an author.
    Edit,
    Publish,
    // To the simulation.
    Start(usize),
    Kill(usize),
    Repeat,
    Flood {
        host: usize,
        rank: &'static str,
        left: u32,
    },
}

//! What the parts of a cell send each other.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use balance::Digest;
use bytes::Bytes;
use document::Offset;
use member::{Address, Exchange};
use order::{Batch, Key, Lease, Number, Outcome, Submission, Ticket};

/// Identity of a request's content: the answer to it repeats this number.
pub(super) type Job = u64;
/// Number of an attempt; the connection that carries it has the same number.
pub(super) type Attempt = u64;
/// Number of a life of an entry host; messages to an earlier life are lost.
pub(super) type Life = u32;

/// Who gets a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Node {
    Host(usize, Life),
    Backend(usize),
    Log,
    Caller(usize),
    Author(usize),
    World,
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

/// What a caller is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reply {
    Done(Payload),
    NotRun,
    Unknown,
}

/// The body of an answer, as far as it came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Payload {
    pub(super) job: Job,
    pub(super) attempt: Attempt,
    pub(super) is_whole: bool,
}

/// What comes back on a connection to a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) enum Wire {
    Answer(Payload),
    Reset,
    ServerError,
    Shed {
        /// Whether the backend server says that it leaves.
        is_leaving: bool,
    },
}

/// Work for a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work {
    pub(super) host: Node,
    pub(super) attempt: Attempt,
    pub(super) job: Job,
    pub(super) is_order: bool,
    pub(super) service: Duration,
}

/// What an append of the log came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Append {
    Done,
    Refused,
    Unknown,
}

/// Why a record is appended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Token {
    Batch {
        batch: Batch,
        /// Whether the record may hold the order whose steps count.
        is_tagged: bool,
    },
    Publication,
}

/// Records of a stream.
#[derive(Clone, Debug)]
pub(super) struct Page {
    pub(super) next: Offset,
    pub(super) records: Vec<(Offset, Bytes)>,
}

/// What the parts of a cell send each other.
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
        attempt: Attempt,
        is_refused: bool,
    },
    Wire {
        connection: Attempt,
        wire: Wire,
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
    /// Nothing if the log doesn't answer.
    Records {
        stream: String,
        page: Option<Page>,
    },
    Heartbeat {
        from: Node,
        exchange: Box<Exchange>,
        digest: Digest,
        /// Backend servers that said themselves that they leave.
        leaving: BTreeSet<usize>,
    },
    HeartbeatAnswer {
        from: Node,
        exchange: Box<Exchange>,
        leaving: BTreeSet<usize>,
    },
    HeartbeatTimeout {
        to: Address,
        serial: u64,
    },
    Forward {
        from: Node,
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
        from: Node,
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
        from: Node,
    },
    // To the log.
    Append {
        from: Node,
        token: Token,
        stream: String,
        record: Bytes,
    },
    Read {
        from: Node,
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
    // To the world.
    Start(usize),
    Kill(usize),
    Repeat,
    Flood {
        host: usize,
        rank: &'static str,
        left: u32,
    },
}

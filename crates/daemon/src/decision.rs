//! Records of routing decisions: one log line each, and a ring of recent ones for `explain`.
//!
//! Requests never wait for the log: records go through a bounded queue, and those that don't fit
//! are counted and dropped.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, SyncSender},
    },
    thread,
    time::Duration,
};

use serde::Serialize;

use crate::{caller::reply::Outcome, id, process::CONTROL_THREAD};

/// Maximum number of records that wait for the log.
const QUEUE_LIMIT: usize = 16_384;
/// Number of records kept for `explain`.
const RING_LIMIT: usize = 4_096;
/// Target of the log lines, for filters.
pub const TARGET: &str = "decision";

/// One attempt within a decision.
#[derive(Clone, Debug, Serialize)]
pub struct Attempt {
    /// Upstream that was chosen.
    pub upstream: String,
    /// Candidates and their scores.
    pub reason: String,
    /// Status of the answer, or the error.
    pub result: String,
    /// Time from the choice to the result, in microseconds.
    pub took_us: u64,
}

/// The decisions on one request, and its outcome.
#[derive(Clone, Debug, Serialize)]
pub struct Decision {
    /// Id of the request.
    pub request: String,
    /// Name of the caller.
    pub caller: String,
    /// Route that matched; empty if none did.
    pub route: String,
    /// Service that answered.
    pub service: String,
    /// Rank of the work.
    pub rank: String,
    /// Version of the configuration that was in force.
    pub version: u64,
    /// Time that the request waited for a slot, in microseconds.
    pub queued_us: u64,
    /// Attempts, in order.
    pub attempts: Vec<Attempt>,
    /// Outcome in the reply.
    pub outcome: &'static str,
    /// Status of the reply.
    pub status: u16,
    /// Reason of a refusal; empty if there was none.
    pub reason: &'static str,
    /// For a refusal that rests on the document: time since the log held nothing newer, in
    /// milliseconds; `None` if that is not known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub document_age_ms: Option<u64>,
    /// Time from acceptance to the reply, in microseconds.
    pub took_us: u64,
}

impl Decision {
    /// Creates the record of the request `id`.
    #[must_use]
    pub fn new(id: id::Request) -> Self {
        Self {
            request: id.to_string(),
            caller: String::new(),
            route: String::new(),
            service: String::new(),
            rank: String::new(),
            version: 0,
            queued_us: 0,
            attempts: Vec::new(),
            outcome: Outcome::NotRun.as_str(),
            status: 0,
            reason: "",
            document_age_ms: None,
            took_us: 0,
        }
    }
}

/// Records decisions without blocking the requests.
#[derive(Debug)]
pub struct Recorder {
    queue: SyncSender<Arc<Decision>>,
    ring: Mutex<VecDeque<Arc<Decision>>>,
    dropped: AtomicU64,
}

impl Recorder {
    /// Starts a recorder; its thread ends with the recorder. Without `log_lines` it only keeps the
    /// ring.
    #[must_use]
    pub fn start(log_lines: bool) -> Arc<Self> {
        let (queue, receiver) = mpsc::sync_channel(QUEUE_LIMIT);
        if log_lines {
            let writer = thread::Builder::new().name(CONTROL_THREAD.into());
            if let Err(e) = writer.spawn(move || write_lines(&receiver)) {
                log::error!("decisions are not logged: thread not started: {e}");
            }
        }
        Arc::new(Self { queue, ring: Mutex::default(), dropped: AtomicU64::new(0) })
    }

    /// Records a decision without waiting.
    pub fn record(&self, decision: Decision) {
        let decision = Arc::new(decision);
        if let Err(mpsc::TrySendError::Full(_)) = self.queue.try_send(Arc::clone(&decision)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() >= RING_LIMIT {
            ring.pop_front();
        }
        ring.push_back(decision);
    }

    /// Returns the decision on a request, if the ring still holds it.
    #[must_use]
    pub fn explain(&self, request: &str) -> Option<Arc<Decision>> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().rev().find(|it| it.request == request).cloned()
    }

    /// Returns the last `limit` decisions, newest first.
    #[must_use]
    pub fn last(&self, limit: usize) -> Vec<Arc<Decision>> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().rev().take(limit).cloned().collect()
    }

    /// Returns the number of records that were dropped because the queue to the log was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_lines(receiver: &Receiver<Arc<Decision>>) {
    while let Ok(it) = receiver.recv() {
        match serde_json::to_string(&*it) {
            Ok(line) => log::info!(target: TARGET, "{line}"),
            Err(e) => log::warn!("decision not logged: {e}"),
        }
    }
}

/// Converts a duration to whole milliseconds.
#[must_use]
pub fn millis(it: Duration) -> u64 {
    u64::try_from(it.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a duration to whole microseconds.
#[must_use]
pub fn micros(it: Duration) -> u64 {
    u64::try_from(it.as_micros()).unwrap_or(u64::MAX)
}

//! Records of routing decisions: a log line for each, and the last ones kept for `explain`.
//!
//! The request path never waits for the log: records go through a bounded queue, and those that
//! find it full are counted and dropped.

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

/// Records that wait for the log at most.
const QUEUE_LIMIT: usize = 16_384;
/// Records kept for `explain`.
const RING_LIMIT: usize = 4_096;
/// Target of the log lines, for filters.
pub const TARGET: &str = "decision";

/// One attempt within a decision.
#[derive(Clone, Debug, Serialize)]
pub struct Attempt {
    /// Upstream that was chosen.
    pub upstream: String,
    /// Why it was chosen: candidates and their scores.
    pub reason: String,
    /// What came of it.
    pub result: String,
    /// Time from the choice to the result, in microseconds.
    pub took_us: u64,
}

/// What was decided for one request.
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
    /// Outcome told to the caller.
    pub outcome: &'static str,
    /// Status told to the caller.
    pub status: u16,
    /// Reason of a refusal; empty if there was none.
    pub reason: &'static str,
    /// Time from acceptance to the reply, in microseconds.
    pub took_us: u64,
}

impl Decision {
    /// A decision about the request `id`, before anything was decided.
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
            took_us: 0,
        }
    }
}

/// Takes decisions from the request path.
#[derive(Debug)]
pub struct Recorder {
    queue: SyncSender<Arc<Decision>>,
    ring: Mutex<VecDeque<Arc<Decision>>>,
    dropped: AtomicU64,
}

impl Recorder {
    /// Starts a recorder; its thread ends with the recorder. With `lines` unset only the ring is
    /// kept.
    #[must_use]
    pub fn start(lines: bool) -> Arc<Self> {
        let (queue, receiver) = mpsc::sync_channel(QUEUE_LIMIT);
        if lines {
            let writer = thread::Builder::new().name(CONTROL_THREAD.into());
            if let Err(e) = writer.spawn(move || write_lines(&receiver)) {
                log::error!("decisions can't be logged: {e}");
            }
        }
        Arc::new(Self { queue, ring: Mutex::default(), dropped: AtomicU64::new(0) })
    }

    /// Takes a decision without waiting.
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

    /// The decision about a request, if it is still kept.
    #[must_use]
    pub fn explain(&self, request: &str) -> Option<Arc<Decision>> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().rev().find(|it| it.request == request).cloned()
    }

    /// The last `limit` decisions, newest first.
    #[must_use]
    pub fn last(&self, limit: usize) -> Vec<Arc<Decision>> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().rev().take(limit).cloned().collect()
    }

    /// Records that found the queue to the log full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_lines(receiver: &Receiver<Arc<Decision>>) {
    while let Ok(it) = receiver.recv() {
        match serde_json::to_string(&*it) {
            Ok(line) => log::info!(target: TARGET, "{line}"),
            Err(e) => log::warn!("a decision could not be written: {e}"),
        }
    }
}

/// A duration in whole microseconds, as records carry it.
#[must_use]
pub fn micros(it: Duration) -> u64 {
    u64::try_from(it.as_micros()).unwrap_or(u64::MAX)
}

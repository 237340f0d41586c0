//! Connections that hold memory.

use std::{
    cell::{Cell, RefCell},
    net::IpAddr,
    time::{Duration, Instant},
};

use tokio::sync::Notify;

use super::Meter;

/// Longest time assumed for the rest of a transfer.
const MAX_REST: Duration = Duration::from_mins(1);
/// Rest assumed for a body of unknown length: as much as has arrived, and at least this, in bytes.
const MIN_UNKNOWN_REST: usize = 64 << 10;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It waits for a request.
    Idle,
    /// It reads a request and none is in progress.
    Reading,
    /// Requests are in progress.
    Working,
    /// It writes an answer.
    Writing,
}

/// A connection that holds memory or a descriptor.
#[derive(Debug)]
pub struct Holder {
    /// Address of the caller.
    pub address: IpAddr,
    /// Number of the group, within which connections make room for one another.
    pub group: usize,
    /// What the connection is doing.
    pub stage: Cell<Stage>,
    /// Bytes held for the connection.
    pub bytes: Cell<usize>,
    /// Bytes missing from the body that is read, or from the answer that is written; `None` if
    /// unknown.
    pub rest: Cell<Option<usize>>,
    /// Answers that wait to be written, in bytes.
    pub unsent: Cell<usize>,
    meter: RefCell<Meter>,
    is_evicted: Cell<bool>,
    evicted: Notify,
}

impl Holder {
    pub(super) fn new(address: IpAddr, group: usize, now: Instant) -> Self {
        Self {
            address,
            group,
            stage: Cell::new(Stage::Idle),
            bytes: Cell::new(0),
            rest: Cell::new(None),
            unsent: Cell::new(0),
            meter: RefCell::new(Meter::new(now)),
            is_evicted: Cell::new(false),
            evicted: Notify::new(),
        }
    }

    /// Records bytes that were read or written.
    pub fn record(&self, now: Instant, bytes: usize) {
        self.meter.borrow_mut().record(now, bytes);
    }

    /// Records that the connection is held up on this side, which is not the caller's fault.
    pub fn hold(&self, now: Instant) {
        self.meter.borrow_mut().hold(now);
    }

    /// Forgets the speed of the last transfer: another one begins.
    pub fn restart(&self, now: Instant) {
        *self.meter.borrow_mut() = Meter::new(now);
    }

    /// Whether the connection has to give its memory up.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.is_evicted.get()
    }

    /// Waits until the connection has to give its memory up. It is notified once for each eviction.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Makes the connection give its memory up.
    pub fn evict(&self) {
        self.is_evicted.set(true);
        self.evicted.notify_one();
    }

    /// Records that memory was given up.
    pub fn reset(&self) {
        self.is_evicted.set(false);
        self.rest.set(None);
    }

    /// Time since the last progress.
    #[must_use]
    pub fn idle(&self, now: Instant) -> Duration {
        self.meter.borrow().idle(now)
    }

    /// What the connection costs others: its bytes, times the time for which it has made no
    /// progress and the time that the rest will take at its present speed. `None` if its requests
    /// are in progress, whose work would be lost.
    pub(super) fn cost(&self, now: Instant) -> Option<f64> {
        if self.stage.get() == Stage::Working || self.is_evicted() {
            return None;
        }
        let meter = self.meter.borrow();
        let bytes = self.bytes.get();
        let rest = match self.stage.get() {
            Stage::Idle => 0,
            _ => self.rest.get().unwrap_or(bytes.max(MIN_UNKNOWN_REST)),
        };
        let seconds = (rest as f64 / meter.rate(now).max(1.0)).min(MAX_REST.as_secs_f64());
        Some(bytes as f64 * (seconds + meter.idle(now).as_secs_f64()))
    }
}

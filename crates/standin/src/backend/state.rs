//! Shared state of a backend server.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::{Semaphore, watch};

use super::{Execution, Faults, Load, Settings};

/// Shared state of a backend server.
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) faults: watch::Sender<Faults>,
    pub(super) slots: Semaphore,
    queued: AtomicUsize,
    probes: AtomicU64,
    inner: Mutex<Inner>,
}

/// The id of an attempt and the body of its answer.
pub(super) type Exchange = (String, Bytes);

struct Inner {
    cold_since: Instant,
    total: Execution,
    by_key: BTreeMap<String, Execution>,
    previous: Exchange,
}

impl State {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            settings,
            faults: watch::Sender::new(Faults::default()),
            slots: Semaphore::new(settings.slots),
            queued: AtomicUsize::new(0),
            probes: AtomicU64::new(0),
            inner: Mutex::new(Inner {
                cold_since: Instant::now(),
                total: Execution::default(),
                by_key: BTreeMap::new(),
                previous: ("another".to_owned(), Bytes::from_static(b"another")),
            }),
        }
    }

    pub(super) fn load(&self) -> Load {
        Load {
            in_flight: self.settings.slots - self.slots.available_permits(),
            queued: self.queued.load(Ordering::Acquire),
        }
    }

    /// Counts a request as queued until the guard is dropped, or returns `None` if the queue is full.
    pub(super) fn enqueue(&self) -> Option<Queued<'_>> {
        let before = self.queued.fetch_add(1, Ordering::AcqRel);
        let queued = Queued { queued: &self.queued };
        (before < self.settings.queue_limit || self.slots.available_permits() > 0).then_some(queued)
    }

    /// Current service time of a request, with the factors for cold start and slowness.
    pub(super) fn service_time(&self) -> Duration {
        let cold_for = self.settings.cold_start.saturating_sub(self.lock().cold_since.elapsed());
        let cold = match self.settings.cold_start.as_secs_f64() {
            0.0 => 0.0,
            total_s => cold_for.as_secs_f64() / total_s,
        };
        let factor = 1.0 + cold * (self.settings.cold_factor - 1.0).max(0.0);
        self.settings.service_time.mul_f64(factor * self.faults.borrow().slow_factor)
    }

    pub(super) fn reset_cold_start(&self) {
        self.lock().cold_since = Instant::now();
    }

    /// Updates the counts of all requests, and those of the idempotency key `key` if there is one.
    pub(super) fn count(&self, key: Option<&str>, change: impl Fn(&mut Execution)) {
        let mut inner = self.lock();
        change(&mut inner.total);
        if let Some(key) = key {
            change(inner.by_key.entry(key.to_owned()).or_default());
        }
    }

    pub(super) fn execution(&self, key: &str) -> Execution {
        self.lock().by_key.get(key).copied().unwrap_or_default()
    }

    pub(super) fn total(&self) -> Execution {
        self.lock().total
    }

    /// Stores this exchange and returns the previous one.
    pub(super) fn replace_previous(&self, exchange: Exchange) -> Exchange {
        std::mem::replace(&mut self.lock().previous, exchange)
    }

    pub(super) fn count_probe(&self) {
        self.probes.fetch_add(1, Ordering::AcqRel);
    }

    pub(super) fn probes(&self) -> u64 {
        self.probes.load(Ordering::Acquire)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no handler panics with the lock")
    }
}

/// Guard of a request that waits for a slot.
pub(super) struct Queued<'a> {
    queued: &'a AtomicUsize,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        self.queued.fetch_sub(1, Ordering::AcqRel);
    }
}

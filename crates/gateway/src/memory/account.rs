//! Counters of the bytes that are held.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use super::Charge;

/// What memory is held for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Connections: their state, and bytes read ahead.
    Connections,
    /// Heads of requests in progress, beyond what is counted for each request.
    Heads,
    /// Bodies of requests, from their first byte until the last attempt has ended.
    Requests,
    /// Answers, from their first byte until they are written to the caller.
    Answers,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Connections, Self::Heads, Self::Requests, Self::Answers];

    /// Name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Heads => "heads",
            Self::Requests => "requests",
            Self::Answers => "answers",
        }
    }
}

#[derive(Debug, Default)]
struct State {
    limit: AtomicUsize,
    total: AtomicUsize,
    by_kind: [AtomicUsize; Kind::ALL.len()],
}

/// Counters of the bytes that are held, with their limit.
///
/// Bodies carry their charge until the last reference to them is dropped, and must be `Send` for
/// that, hence the atomics. One thread changes them.
#[derive(Clone, Debug)]
pub struct Account(Arc<State>);

impl Default for Account {
    /// An account without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl Account {
    /// Creates an account with a limit in bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        let res = Self(Arc::default());
        res.set_limit(limit);
        res
    }

    /// Limit, in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.0.limit.load(Ordering::Relaxed)
    }

    /// Sets the limit, in bytes. What is held already stays.
    pub fn set_limit(&self, bytes: usize) {
        self.0.limit.store(bytes, Ordering::Relaxed);
    }

    /// Bytes held, of all kinds.
    #[must_use]
    pub fn used(&self) -> usize {
        self.0.total.load(Ordering::Relaxed)
    }

    /// Bytes held of one kind.
    #[must_use]
    pub fn used_for(&self, kind: Kind) -> usize {
        self.0.by_kind[kind as usize].load(Ordering::Relaxed)
    }

    /// Opens a charge of 0 bytes.
    #[must_use]
    pub fn charge(&self, kind: Kind) -> Charge {
        Charge::new(self.clone(), kind)
    }

    pub(super) fn replace(&self, kind: Kind, old: usize, new: usize) {
        for it in [&self.0.total, &self.0.by_kind[kind as usize]] {
            it.fetch_add(new, Ordering::Relaxed);
            it.fetch_sub(old, Ordering::Relaxed);
        }
    }
}

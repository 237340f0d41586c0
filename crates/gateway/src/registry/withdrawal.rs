//! Upstreams that have said in their answers that they take no requests.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use super::{Registration, UpstreamId};

/// Maximum number of upstreams remembered: several times those of the largest deployment.
const MAX_ENTRIES: usize = 16_384;

/// What an incarnation of an upstream has said about taking requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Withdrawal {
    /// Whether it is leaving; it never accepts requests again.
    pub is_leaving: bool,
    /// Until when this host must not send it anything.
    pub paused_until: Option<Instant>,
}

impl Withdrawal {
    /// Whether nothing may be sent to the upstream now.
    #[must_use]
    pub fn is_in_force(&self, now: Instant) -> bool {
        self.is_leaving || self.paused_until.is_some_and(|it| now < it)
    }
}

/// The withdrawals by upstream. Only a later start of the upstream ends one: neither an entry read
/// from the store nor the list of a peer does.
#[derive(Debug, Default)]
pub struct Withdrawals {
    entries: HashMap<UpstreamId, (u64, Withdrawal)>,
    /// Ids in the order in which they were added.
    order: VecDeque<UpstreamId>,
}

impl Withdrawals {
    /// Records that the incarnation started at `born_ms` is leaving; returns whether this is new.
    pub fn leave(&mut self, id: &UpstreamId, born_ms: u64) -> bool {
        let Some(entry) = self.entry(id, born_ms) else { return false };
        !std::mem::replace(&mut entry.is_leaving, true)
    }

    /// Records that the incarnation started at `born_ms` wants nothing from this host before
    /// `until`.
    pub fn pause(&mut self, id: &UpstreamId, born_ms: u64, until: Instant) {
        if let Some(entry) = self.entry(id, born_ms) {
            entry.paused_until = entry.paused_until.max(Some(until));
        }
    }

    /// Withdrawal of a registered incarnation.
    #[must_use]
    pub fn get(&self, registration: &Registration) -> Withdrawal {
        match self.entries.get(&registration.id) {
            // A later incarnation has started since.
            Some((born_ms, _)) if registration.born_ms < *born_ms => {
                Withdrawal { is_leaving: true, paused_until: None }
            }
            Some((born_ms, it)) if registration.born_ms == *born_ms => *it,
            _ => Withdrawal::default(),
        }
    }

    /// The newest of the upstreams that are leaving, at most `count`.
    #[must_use]
    pub fn newest_leaving(&self, count: usize) -> Vec<(UpstreamId, u64)> {
        let leaving = |id: &UpstreamId| {
            let (born_ms, _) = self.entries.get(id).filter(|(_, it)| it.is_leaving)?;
            Some((id.clone(), *born_ms))
        };
        self.order.iter().rev().filter_map(leaving).take(count).collect()
    }

    /// The withdrawal of an incarnation, or `None` if a later one is known.
    fn entry(&mut self, id: &UpstreamId, born_ms: u64) -> Option<&mut Withdrawal> {
        let is_new = !self.entries.contains_key(id);
        if is_new {
            self.order.push_back(id.clone());
            if self.order.len() > MAX_ENTRIES
                && let Some(oldest) = self.order.pop_front()
            {
                self.entries.remove(&oldest);
            }
        }
        let (known, entry) =
            self.entries.entry(id.clone()).or_insert_with(|| (born_ms, Withdrawal::default()));
        if *known > born_ms {
            return None;
        }
        if *known < born_ms {
            (*known, *entry) = (born_ms, Withdrawal::default());
        }
        Some(entry)
    }
}

//! Addresses of possible members.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use crate::{Address, Member, Settings};

/// Maximum number of candidates.
const LIMIT: usize = 1_024;
/// Unanswered heartbeats after which an address known only from rumors is removed.
const RUMORED_MISS_LIMIT: u32 = 4;
/// Maximum number of doublings of the time between heartbeats to an address that does not answer.
const MAX_DOUBLINGS: u32 = 5;

/// Addresses at which a daemon that is not a member yet may answer.
#[derive(Debug)]
pub(super) struct Candidates {
    own: Address,
    seeds: BTreeSet<Address>,
    listed: BTreeSet<Address>,
    entries: BTreeMap<Address, Candidate>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Candidate {
    last_sent: Option<Instant>,
    misses: u32,
}

impl Candidates {
    pub(super) fn new(own: Address, seeds: &[Address]) -> Self {
        Self {
            own,
            seeds: seeds.iter().copied().collect(),
            listed: BTreeSet::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Adds an address, unless it is already a candidate or the limit is reached.
    pub(super) fn add(&mut self, address: Address) {
        if address != self.own && self.entries.len() < LIMIT {
            self.entries.entry(address).or_default();
        }
    }

    /// Replaces the addresses from the host list.
    pub(super) fn set_listed(&mut self, listed: impl Iterator<Item = Address>) {
        self.listed = listed.collect();
    }

    /// Removes an address at which a daemon answered.
    pub(super) fn remove(&mut self, address: Address) {
        self.entries.remove(&address);
    }

    /// Records that no daemon answered at the address.
    pub(super) fn record_miss(&mut self, address: Address) {
        let is_permanent = self.is_permanent(address);
        let Some(it) = self.entries.get_mut(&address) else { return };
        it.misses += 1;
        if it.misses >= RUMORED_MISS_LIMIT && !is_permanent {
            self.entries.remove(&address);
        }
    }

    /// Addresses to which a heartbeat is due now; those whose last heartbeat is oldest come first.
    pub(super) fn due(
        &mut self,
        members: &BTreeMap<Address, Member>,
        settings: &Settings,
        now: Instant,
    ) -> Vec<Address> {
        let permanent: Vec<_> = self.seeds.union(&self.listed).copied().collect();
        for it in permanent.into_iter().filter(|it| !members.contains_key(it)) {
            self.add(it);
        }
        let mut due: Vec<_> =
            self.entries.iter_mut().filter(|(_, it)| it.is_due(settings, now)).collect();
        due.sort_by_key(|(_, it)| it.last_sent);
        due.truncate(settings.candidate_fanout);
        for (_, it) in &mut due {
            it.last_sent = Some(now);
        }
        due.into_iter().map(|(address, _)| *address).collect()
    }

    fn is_permanent(&self, address: Address) -> bool {
        self.seeds.contains(&address) || self.listed.contains(&address)
    }
}

impl Candidate {
    fn is_due(&self, settings: &Settings, now: Instant) -> bool {
        let wait = settings.period * 2_u32.pow(self.misses.min(MAX_DOUBLINGS));
        self.last_sent.is_none_or(|it| now.saturating_duration_since(it) >= wait)
    }
}

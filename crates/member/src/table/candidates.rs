//! Addresses at which a daemon may answer that is not a member yet.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use crate::{Address, Member, Settings};

/// Most addresses that wait for a heartbeat.
const WAITING_LIMIT: usize = 1_024;
/// Unanswered heartbeats after which an address known by rumor alone is dropped.
const RUMORED_MISSES: u32 = 4;
/// Most doublings of the time between heartbeats to an address that does not answer.
const DOUBLINGS_LIMIT: u32 = 5;

/// Addresses at which a daemon may answer that is not a member yet.
#[derive(Debug)]
pub(super) struct Candidates {
    own: Address,
    seeds: BTreeSet<Address>,
    listed: BTreeSet<Address>,
    waiting: BTreeMap<Address, Candidate>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Candidate {
    asked: Option<Instant>,
    misses: u32,
}

impl Candidates {
    pub(super) fn new(own: Address, seeds: &[Address]) -> Self {
        Self {
            own,
            seeds: seeds.iter().copied().collect(),
            listed: BTreeSet::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Adds an address, unless it waits already.
    pub(super) fn add(&mut self, address: Address) {
        if address != self.own && self.waiting.len() < WAITING_LIMIT {
            self.waiting.entry(address).or_default();
        }
    }

    /// Replaces the addresses from the host list.
    pub(super) fn set_listed(&mut self, listed: impl Iterator<Item = Address>) {
        self.listed = listed.collect();
    }

    /// A daemon answered at the address.
    pub(super) fn confirm(&mut self, address: Address) {
        self.waiting.remove(&address);
    }

    /// Nobody answered at the address.
    pub(super) fn miss(&mut self, address: Address) {
        let lasting = self.is_lasting(address);
        let Some(it) = self.waiting.get_mut(&address) else { return };
        it.misses += 1;
        if it.misses >= RUMORED_MISSES && !lasting {
            self.waiting.remove(&address);
        }
    }

    /// Addresses to send a heartbeat to now, those first that waited longest.
    pub(super) fn due(
        &mut self,
        members: &BTreeMap<Address, Member>,
        settings: &Settings,
        now: Instant,
    ) -> Vec<Address> {
        let lasting: Vec<_> = self.seeds.union(&self.listed).copied().collect();
        for it in lasting.into_iter().filter(|it| !members.contains_key(it)) {
            self.add(it);
        }
        let mut due: Vec<_> =
            self.waiting.iter_mut().filter(|(_, it)| it.is_due(settings, now)).collect();
        due.sort_by_key(|(_, it)| it.asked);
        due.truncate(settings.candidate_fanout);
        for (_, it) in &mut due {
            it.asked = Some(now);
        }
        due.into_iter().map(|(address, _)| *address).collect()
    }

    fn is_lasting(&self, address: Address) -> bool {
        self.seeds.contains(&address) || self.listed.contains(&address)
    }
}

impl Candidate {
    fn is_due(&self, settings: &Settings, now: Instant) -> bool {
        let wait = settings.period * 2_u32.pow(self.misses.min(DOUBLINGS_LIMIT));
        self.asked.is_none_or(|it| now.saturating_duration_since(it) >= wait)
    }
}

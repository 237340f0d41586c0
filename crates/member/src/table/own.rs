//! What a daemon tells of itself.

use std::cmp::Reverse;

use crate::{Address, Digest, Identity, Load, Phase, Version};

/// What a daemon tells of itself.
#[derive(Debug)]
pub(super) struct Own {
    digest: Digest,
    /// Busiest first.
    loads: Vec<Load>,
    cursor: usize,
}

impl Own {
    pub(super) fn new(identity: Identity) -> Self {
        let digest = Digest { identity, phase: Phase::default(), sequence: 0, version: 0 };
        Self { digest, loads: Vec::new(), cursor: 0 }
    }

    pub(super) fn identity(&self) -> &Identity {
        &self.digest.identity
    }

    pub(super) fn address(&self) -> Address {
        self.digest.identity.address
    }

    pub(super) fn phase(&self) -> Phase {
        self.digest.phase
    }

    pub(super) fn version(&self) -> Version {
        self.digest.version
    }

    /// Moves on to `phase`, never back; returns whether that changed anything.
    pub(super) fn set_phase(&mut self, phase: Phase) -> bool {
        let changed = phase > self.digest.phase;
        self.digest.phase = self.digest.phase.max(phase);
        changed
    }

    pub(super) fn set_version(&mut self, version: Version) {
        if version != self.digest.version {
            self.loads.clear();
        }
        self.digest.version = version;
    }

    pub(super) fn set_loads(&mut self, mut loads: Vec<Load>) {
        loads.sort_by_key(|it| (Reverse(it.in_flight + it.queued), it.service));
        self.loads = loads;
    }

    pub(super) fn next_digest(&mut self) -> Digest {
        self.digest.sequence += 1;
        self.digest.clone()
    }

    /// At most `limit` loads: half of them the busiest, half in turn from all others.
    pub(super) fn next_loads(&mut self, limit: usize) -> Vec<Load> {
        if self.loads.len() <= limit {
            return self.loads.clone();
        }
        let (busiest, others) = self.loads.split_at(limit / 2);
        let count = limit - busiest.len();
        let in_turn = others.iter().cycle().skip(self.cursor % others.len()).take(count);
        self.cursor = (self.cursor + count) % others.len();
        busiest.iter().chain(in_turn).copied().collect()
    }
}

//! The state that this daemon reports of itself.

use std::cmp::Reverse;

use crate::{Address, Digest, Identity, Load, Phase, Version};

/// The state that this daemon reports of itself.
#[derive(Debug)]
pub(super) struct Own {
    digest: Digest,
    /// Loads by service, highest first.
    loads: Vec<Load>,
    /// Position in the rotation over the loads beyond the highest.
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

    /// Advances to `phase`, never back; returns whether the phase changed.
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

    /// At most `limit` loads: half of them the highest, the rest in rotation from all others.
    pub(super) fn next_loads(&mut self, limit: usize) -> Vec<Load> {
        if self.loads.len() <= limit {
            return self.loads.clone();
        }
        let (highest, others) = self.loads.split_at(limit / 2);
        let count = limit - highest.len();
        let in_turn = others.iter().cycle().skip(self.cursor % others.len()).take(count);
        self.cursor = (self.cursor + count) % others.len();
        highest.iter().chain(in_turn).copied().collect()
    }
}

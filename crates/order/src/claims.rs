//! First claims of callers' own keys.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{Fingerprint, Incarnation};

/// The incarnation that claimed a key first.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Owner {
    pub(crate) incarnation: Incarnation,
    pub(crate) fingerprint: Fingerprint,
}

/// The first claim of each key, as far as the log has been read.
///
/// A claim expires `ttl` after it was read, which is never earlier than `ttl` after its append. The
/// log must retain records for at least `ttl`; otherwise a daemon that starts later could miss a
/// claim.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Claims {
    owners: BTreeMap<u128, Owner>,
    by_age: VecDeque<(Instant, u128)>,
    blocked_until: Option<Instant>,
    /// This daemon's claims that were abandoned but may still be read, oldest first.
    abandoned: VecDeque<(Instant, u128)>,
}

impl Claims {
    pub(crate) fn get(&self, key: u128) -> Option<Owner> {
        self.owners.get(&key).copied()
    }

    /// Records a claim that was read; returns whether it is the first for its key.
    pub(crate) fn insert(&mut self, key: u128, owner: Owner, now: Instant) -> bool {
        if self.owners.contains_key(&key) {
            return false;
        }
        self.owners.insert(key, owner);
        self.by_age.push_back((now, key));
        true
    }

    /// Whether the number of stored claims has reached `limit`.
    pub(crate) fn is_full(&self, limit: usize) -> bool {
        self.owners.len() >= limit
    }

    /// Whether claims may have been missed, so that the first claim of a key is uncertain.
    pub(crate) fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|it| now < it)
    }

    /// Blocks all claims until every claim that was missed has expired.
    pub(crate) fn block(&mut self, ttl: Duration, now: Instant) {
        self.blocked_until = Some(now + ttl);
    }

    /// Records that a claim of this daemon was abandoned before it was read.
    pub(crate) fn abandon(&mut self, key: u128, now: Instant) {
        self.abandoned.push_back((now, key));
    }

    /// Removes expired abandoned claims, and returns their keys.
    pub(crate) fn expire_abandoned(&mut self, ttl: Duration, now: Instant) -> Vec<u128> {
        let count = self.abandoned.iter().take_while(|(at, _)| *at + ttl <= now).count();
        self.abandoned.drain(..count).map(|(_, key)| key).collect()
    }

    /// Removes expired claims, and returns their keys.
    pub(crate) fn expire(&mut self, ttl: Duration, now: Instant) -> Vec<u128> {
        let mut res = Vec::new();
        while let Some(&(read_at, key)) = self.by_age.front() {
            if read_at + ttl > now {
                break;
            }
            self.by_age.pop_front();
            self.owners.remove(&key);
            res.push(key);
        }
        res
    }
}

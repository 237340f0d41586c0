//! Callers' own keys and the incarnations that claimed them first.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{Fingerprint, Incarnation};

/// The first claim of a key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Owner {
    pub(crate) incarnation: Incarnation,
    pub(crate) fingerprint: Fingerprint,
}

/// The first claim of each key, as far as the log was read.
///
/// A claim is forgotten `life` after it was read, which is never before `life` after its append. The
/// log must keep records for as long, or a daemon that starts later would not see it.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Claims {
    owners: BTreeMap<u128, Owner>,
    by_age: VecDeque<(Instant, u128)>,
    blocked_until: Option<Instant>,
    /// Own claims that were given up on, oldest first, and that may be read yet.
    abandoned: VecDeque<(Instant, u128)>,
}

impl Claims {
    pub(crate) fn get(&self, key: u128) -> Option<Owner> {
        self.owners.get(&key).copied()
    }

    /// Notes a claim that was read; returns whether it is the first of its key.
    pub(crate) fn insert(&mut self, key: u128, owner: Owner, now: Instant) -> bool {
        if self.owners.contains_key(&key) {
            return false;
        }
        self.owners.insert(key, owner);
        self.by_age.push_back((now, key));
        true
    }

    /// Whether no further claim can be remembered.
    pub(crate) fn is_full(&self, limit: usize) -> bool {
        self.owners.len() >= limit
    }

    /// Whether some record could not be read, so that the first claim of a key is uncertain.
    pub(crate) fn is_blocked(&self, now: Instant) -> bool {
        self.blocked_until.is_some_and(|it| now < it)
    }

    /// Stops all claims until those that were missed can be forgotten.
    pub(crate) fn block(&mut self, life: Duration, now: Instant) {
        self.blocked_until = Some(now + life);
    }

    /// Notes that an own claim was given up on before it was read.
    pub(crate) fn abandon(&mut self, key: u128, now: Instant) {
        self.abandoned.push_back((now, key));
    }

    /// Forgets old claims that were given up on, and returns their keys.
    pub(crate) fn expire_abandoned(&mut self, life: Duration, now: Instant) -> Vec<u128> {
        let count = self.abandoned.iter().take_while(|(at, _)| *at + life <= now).count();
        self.abandoned.drain(..count).map(|(_, key)| key).collect()
    }

    /// Forgets old claims and returns their keys.
    pub(crate) fn expire(&mut self, life: Duration, now: Instant) -> Vec<u128> {
        let mut res = Vec::new();
        while let Some(&(read_at, key)) = self.by_age.front() {
            if read_at + life > now {
                break;
            }
            self.by_age.pop_front();
            self.owners.remove(&key);
            res.push(key);
        }
        res
    }
}

//! Backend servers that are marked as leaving, as this host and its peers read it.
//!
//! The platform's host list lags differently for each reader, so hosts tell each other what they
//! read, and which servers have said so themselves. Only such first-hand knowledge is told on, never
//! what was heard from a peer; so a mark ends everywhere soon after its source has.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::exchange::MARK_LIMIT;

/// Time after which a mark that no peer repeats ends.
const HEARD_LIFETIME: Duration = Duration::from_secs(5);

/// Backend servers that are marked as leaving.
#[derive(Debug, Default)]
pub(super) struct Marks {
    read: BTreeSet<SocketAddr>,
    said: BTreeSet<SocketAddr>,
    heard: BTreeMap<SocketAddr, Instant>,
}

impl Marks {
    /// Takes in what the host list says now.
    pub(super) fn set_read(&mut self, read: BTreeSet<SocketAddr>) {
        self.read = read;
    }

    /// Takes in which servers have said so themselves.
    pub(super) fn set_said(&mut self, said: BTreeSet<SocketAddr>) {
        self.said = said;
    }

    /// Takes in what a peer knows at first hand.
    pub(super) fn hear(&mut self, marks: &[SocketAddr], now: Instant) {
        for it in marks {
            self.heard.insert(*it, now);
        }
    }

    /// What to tell peers.
    pub(super) fn told(&self) -> Vec<SocketAddr> {
        self.read.union(&self.said).take(MARK_LIMIT).copied().collect()
    }

    /// All servers that are marked now.
    pub(super) fn all(&mut self, now: Instant) -> BTreeSet<SocketAddr> {
        self.heard.retain(|_, at| now.saturating_duration_since(*at) < HEARD_LIFETIME);
        let first_hand = self.read.union(&self.said);
        first_hand.chain(self.heard.keys()).copied().collect()
    }
}

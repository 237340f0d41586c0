//! The failure domains that operators have evacuated.

use std::collections::BTreeSet;

use super::Domain;
use crate::platform::{Era, Offset};

/// Maximum number of evacuated domains, so that the state fits in a datagram. Deployments have up to
/// six domains.
pub const MAX_DOMAINS: usize = 64;
/// Maximum length of the name of an evacuated domain, in bytes.
pub const MAX_DOMAIN_BYTES: usize = 64;
/// Largest epoch accepted from a peer. Epochs count restarts of the store's offsets, so a larger one
/// is not genuine, and the highest possible one could never be superseded.
const MAX_EPOCH: u32 = 1_000_000;

/// Age of a state. The later of two states is the one with the greater stamp.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Stamp {
    /// Era of the store.
    pub era: Era,
    /// Number of times that the store's offsets have restarted lower within the era.
    pub epoch: u32,
    /// Offset up to which the topic is known.
    pub end: Offset,
}

impl Stamp {
    /// Whether offsets known at this stamp can be compared with those known at the other one.
    #[must_use]
    pub fn shares_offsets(self, other: Self) -> bool {
        (self.era, self.epoch) == (other.era, other.epoch)
    }
}

/// The beginning or the end of an evacuation, as written to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// The domain.
    pub domain: Domain,
    /// Whether the domain is evacuated from this record on.
    pub is_evacuated: bool,
}

/// What a reader of the topic has to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The read was applied; the next one continues behind it.
    Continue,
    /// The read does not connect to the state; the newest records must be read in full.
    ReadNewest,
}

/// The evacuated failure domains, and the stamp up to which they are known.
///
/// The set follows from the records up to the stamp, so states with equal stamps are equal. A state
/// whose stamp is zero is unknown: a topic with a configuration has at least one record.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Evacuations {
    /// Era of the store.
    pub era: Era,
    /// Number of times that the store's offsets have restarted lower within the era.
    pub epoch: u32,
    /// Offset up to which the topic is known.
    pub end: Offset,
    /// The evacuated domains.
    pub domains: BTreeSet<Domain>,
    /// Domains that were evacuated when the era began. They stay evacuated until the operator has written
    /// again what the store has lost. Not sent to peers.
    #[serde(skip)]
    pub held: BTreeSet<Domain>,
}

impl Evacuations {
    /// Whether a domain of this name can be evacuated. A replacement character stands for bytes of
    /// the key that are not text.
    #[must_use]
    pub fn is_valid_name(domain: &str) -> bool {
        !domain.is_empty()
            && domain.len() <= MAX_DOMAIN_BYTES
            && !domain.contains(char::REPLACEMENT_CHARACTER)
    }

    /// Stamp up to which the domains are known.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        Stamp { era: self.era, epoch: self.epoch, end: self.end }
    }

    /// Whether the state was ever read, by this daemon or by a peer.
    #[must_use]
    pub fn is_known(&self) -> bool {
        (self.epoch, self.end) > (0, 0)
    }

    /// The domains to which nothing may be sent.
    #[must_use]
    pub fn in_force(&self) -> BTreeSet<Domain> {
        &self.domains | &self.held
    }

    /// Begins a later era of the store, of which nothing has been read yet; returns whether it is later.
    /// The domains are those of the era before until the newest records are read.
    pub fn begin_era(&mut self, era: Era) -> bool {
        let is_later = era > self.era;
        if is_later {
            (self.era, self.epoch, self.end) = (era, 0, 0);
            self.held.extend(self.domains.iter().cloned());
        }
        is_later
    }

    /// Ends the time for which the domains of the era before stay evacuated.
    pub fn end_hold(&mut self) {
        self.held.clear();
    }

    /// Whether the state is within the bounds that every daemon keeps.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        self.epoch <= MAX_EPOCH
            && self.domains.len() <= MAX_DOMAINS
            && self.domains.iter().all(|it| Self::is_valid_name(it))
    }

    /// Adopts the state of a peer if it is later; returns whether it is.
    pub fn adopt(&mut self, other: &Self) -> bool {
        let is_later = other.stamp() > self.stamp() && other.is_plausible();
        if is_later {
            self.begin_era(other.era);
            let held = std::mem::take(&mut self.held);
            *self = Self { held, ..other.clone() };
        }
        is_later
    }

    /// Replaces the state by the newest records, `domains`, which were read up to `end`. `started` is
    /// the stamp of the state when the read began.
    ///
    /// A peer may have brought a later state while the read was in progress, which is then kept. An
    /// end below the one known when the read began shows that the store's offsets have restarted, and
    /// so do other domains with the same end. The epoch grows then, so that peers adopt the state.
    pub fn apply_newest(
        &mut self,
        started: Stamp,
        end: Offset,
        domains: impl IntoIterator<Item = Domain>,
    ) -> Progress {
        if !self.stamp().shares_offsets(started) {
            // The read may have been answered before or after the restart of the offsets.
            return Progress::ReadNewest;
        }
        let mut domains: BTreeSet<_> =
            domains.into_iter().filter(|it| Self::is_valid_name(it)).collect();
        while domains.len() > MAX_DOMAINS {
            domains.pop_last();
        }
        let is_unchanged = self.end == started.end;
        let differs = end == started.end && is_unchanged && domains != self.domains;
        if end < started.end || differs {
            if !is_unchanged {
                return Progress::ReadNewest;
            }
            self.epoch = self.epoch.saturating_add(u32::from(self.is_known()));
        } else if end < self.end {
            return Progress::Continue;
        }
        (self.end, self.domains) = (end, domains);
        Progress::Continue
    }

    /// Applies records that were read from the offset `from` up to `end`. `started` is the stamp of
    /// the state when the read began. Records that a peer's state already covers are skipped.
    pub fn apply_records(
        &mut self,
        started: Stamp,
        from: Offset,
        end: Offset,
        records: &[EvacuationRecord],
    ) -> Progress {
        // The store has answered with an end below one that was known before the call.
        let has_restarted = end < started.end;
        // The records between the state and the first one read are unknown.
        let has_gap = self.end < from;
        if !self.stamp().shares_offsets(started) || has_restarted || has_gap {
            return Progress::ReadNewest;
        }
        let mut res = Progress::Continue;
        let known = self.end;
        for it in records.iter().filter(|it| it.offset >= known) {
            self.held.remove(&it.domain);
            if !it.is_evacuated {
                let was_full = self.domains.len() >= MAX_DOMAINS;
                if self.domains.remove(&it.domain) && was_full {
                    // A domain that found no room may get one now.
                    res = Progress::ReadNewest;
                }
            } else if Self::is_valid_name(&it.domain) && self.domains.len() < MAX_DOMAINS {
                self.domains.insert(it.domain.clone());
            }
        }
        self.end = self.end.max(end);
        res
    }
}

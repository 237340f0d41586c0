//! The fold of all records that the log ever held.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use document::{Fold, Publication, PublicationId, Section, Verdict, Version, publication::Change};

use super::store::Store;

/// The fold of all records that the log ever held, and what can be compared with it.
#[derive(Default)]
pub(crate) struct Truth {
    fold: Fold,
    /// Time at which each version was accepted.
    accepted: BTreeMap<Version, Duration>,
    verdicts: HashMap<PublicationId, Verdict>,
    /// Accepted publications by the edit that they carry.
    edits: HashMap<String, u64>,
    /// Accepted publications whose change isn't in the document.
    pub(crate) lost: u64,
    /// Records that repeated an id.
    pub(crate) repeated: u64,
}

impl Truth {
    /// Takes in what has arrived.
    pub(crate) fn follow(&mut self, store: &Store) {
        for (offset, at, record) in store.arrived(self.fold.end()) {
            let verdict = self.fold.apply(offset, &record);
            let publication = Publication::decode(&record).ok();
            if let Verdict::Accepted { version } = verdict {
                self.accepted.insert(version, at);
            }
            if let Some(it) = publication {
                self.note(&it, verdict);
            }
        }
    }

    fn note(&mut self, publication: &Publication, verdict: Verdict) {
        if matches!(verdict, Verdict::Accepted { .. }) {
            *self.edits.entry(publication.note.clone()).or_default() += 1;
            self.lost += u64::from(!publication.changes.iter().all(|it| self.holds(it)));
        }
        if matches!(verdict, Verdict::Repeated { .. }) {
            self.repeated += 1;
        } else {
            self.verdicts.insert(publication.id.clone(), verdict);
        }
    }

    fn holds(&self, change: &Change) -> bool {
        match change {
            Change::Remove { section } => self.fold.section(section).is_none(),
            Change::Set { text } => Section::parse(text)
                .is_ok_and(|it| self.fold.section(&it.id).is_some_and(|kept| kept.text == it.text)),
        }
    }

    pub(crate) fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Whether `fold` is that of all readers that have come as far; one that has read less is
    /// compared when it has caught up.
    pub(crate) fn agrees(&self, fold: &Fold) -> bool {
        fold.end() != self.fold.end() || *fold == self.fold
    }

    /// What became of a publication.
    pub(crate) fn verdict(&self, id: &PublicationId) -> Option<&Verdict> {
        self.verdicts.get(id)
    }

    /// Publications that took effect.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.len() as u64
    }

    /// Time at which the first version after `version` was accepted.
    pub(crate) fn accepted_after(&self, version: Option<Version>) -> Option<Duration> {
        let next = version.map_or(0, |it| it + 1);
        self.accepted.range(next..).next().map(|(_, at)| *at)
    }

    /// Edits that took effect more than once.
    pub(crate) fn doubled(&self) -> u64 {
        self.edits.values().map(|it| it - 1).sum()
    }
}

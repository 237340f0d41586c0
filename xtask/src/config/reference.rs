//! The reference with which hosts and editors are compared.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use document::{Fold, Publication, PublicationId, Section, Verdict, Version, publication::Change};

use super::log::VirtualLog;

/// The fold of all records that the log has ever held, with the facts that are compared with it.
#[derive(Default)]
pub(crate) struct Reference {
    fold: Fold,
    /// Time at which each version was accepted.
    accepted: BTreeMap<Version, Duration>,
    verdicts: HashMap<PublicationId, Verdict>,
    /// Number of accepted publications of each edit.
    edits: HashMap<String, u64>,
    /// Accepted publications whose change isn't in the document.
    pub(crate) lost: u64,
    /// Records that repeated an id.
    pub(crate) repeated: u64,
}

impl Reference {
    /// Folds the records that were appended since the last call.
    pub(crate) fn catch_up(&mut self, log: &VirtualLog) {
        for (offset, at, record) in log.publications_from(self.fold.end()) {
            let verdict = self.fold.apply(offset, &record);
            let publication = Publication::decode(&record).ok();
            if let Verdict::Accepted { version } = verdict {
                self.accepted.insert(version, at);
            }
            if let Some(it) = publication {
                self.record_publication(&it, verdict);
            }
        }
    }

    fn record_publication(&mut self, publication: &Publication, verdict: Verdict) {
        if matches!(verdict, Verdict::Accepted { .. }) {
            *self.edits.entry(publication.note.clone()).or_default() += 1;
            self.lost += u64::from(!publication.changes.iter().all(|it| self.contains(it)));
        }
        if matches!(verdict, Verdict::Repeated { .. }) {
            self.repeated += 1;
        } else {
            self.verdicts.insert(publication.id.clone(), verdict);
        }
    }

    fn contains(&self, change: &Change) -> bool {
        match change {
            Change::Remove { section } => self.fold.section(section).is_none(),
            Change::Set { text } => Section::parse(text)
                .is_ok_and(|it| self.fold.section(&it.id).is_some_and(|kept| kept.text == it.text)),
        }
    }

    pub(crate) fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Whether `fold` equals the reference at the same offset. A fold that has read less is not
    /// compared until it has caught up.
    pub(crate) fn agrees_with(&self, fold: &Fold) -> bool {
        fold.end() != self.fold.end() || *fold == self.fold
    }

    /// The verdict on a publication.
    pub(crate) fn verdict(&self, id: &PublicationId) -> Option<&Verdict> {
        self.verdicts.get(id)
    }

    /// Number of publications that took effect.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.len() as u64
    }

    /// Time at which the first version after `version` was accepted.
    pub(crate) fn accepted_after(&self, version: Option<Version>) -> Option<Duration> {
        let next = version.map_or(0, |it| it + 1);
        self.accepted.range(next..).next().map(|(_, at)| *at)
    }

    /// Number of times that an edit took effect again.
    pub(crate) fn doubled(&self) -> u64 {
        self.edits.values().map(|it| it - 1).sum()
    }
}

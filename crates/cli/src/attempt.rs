//! One publication on its way into the log.
//!
//! The answer to an append can be lost after the record was kept. Then the log is read for the
//! publication's id, and the same record is sent again if it isn't there: the id counts once, however
//! often it arrives. An attempt knows nothing of sockets or time, so that its caller can pace it.

use bytes::Bytes;
use document::{Fold, Offset, Publication, Verdict, replica::Progress};

/// One publication on its way into the log.
#[derive(Clone, Debug)]
pub struct Attempt {
    publication: Publication,
    record: Bytes,
    may_be_stored: bool,
    resolution: Option<Resolution>,
}

/// What became of a publication.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resolution {
    /// Offset of the record that counts.
    pub offset: Offset,
    /// What every reader of the log makes of it.
    pub verdict: Verdict,
}

impl Attempt {
    /// A publication that was not sent yet.
    #[must_use]
    pub fn new(publication: Publication) -> Self {
        let record = Bytes::from(publication.encode());
        Self { publication, record, may_be_stored: false, resolution: None }
    }

    /// The publication.
    #[must_use]
    pub fn publication(&self) -> &Publication {
        &self.publication
    }

    /// The record to append, the same each time.
    #[must_use]
    pub fn record(&self) -> &Bytes {
        &self.record
    }

    /// Whether the log may hold the record.
    #[must_use]
    pub fn may_be_stored(&self) -> bool {
        self.may_be_stored
    }

    /// What became of the publication, once that is certain.
    #[must_use]
    pub fn resolution(&self) -> Option<&Resolution> {
        self.resolution.as_ref()
    }

    /// Takes the answer to an append of [`Attempt::record`].
    pub fn on_append(&mut self, answer: &platform::Result<platform::Offset>) {
        let is_refused = matches!(answer, Err(platform::Error::Refused(_)));
        self.may_be_stored |= !is_refused;
    }

    /// Takes what a reader of the log has come to.
    pub fn on_read(&mut self, fold: &Fold, progress: &Progress) {
        let Some(offset) = fold.evaluated_at(&self.publication.id) else { return };
        if let Some(it) = progress.evaluations.iter().find(|it| it.offset == offset) {
            self.resolution = Some(Resolution { offset, verdict: it.verdict.clone() });
        }
    }
}

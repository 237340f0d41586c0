//! State of appending one publication to the log.
//!
//! The answer to an append can be lost after the record was stored. The log is then read for the
//! publication's id, and the same record is appended again if it isn't there; records with a
//! repeated id have no effect. An attempt does no I/O and reads no clock; the code that uses it
//! decides when to retry.

use bytes::Bytes;
use document::{Fold, Offset, Publication, Verdict, replica::Progress};

/// State of appending one publication to the log.
#[derive(Clone, Debug)]
pub struct Attempt {
    publication: Publication,
    record: Bytes,
    may_be_stored: bool,
    resolution: Option<Resolution>,
}

/// The verdict on a publication in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resolution {
    /// Offset of the first record with the publication.
    pub offset: Offset,
    /// Verdict of every reader of the log.
    pub verdict: Verdict,
}

impl Attempt {
    /// Creates the attempt for a publication that was not appended yet.
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

    /// The record to append, the same on every retry.
    #[must_use]
    pub fn record(&self) -> &Bytes {
        &self.record
    }

    /// Whether the log may have stored the record.
    #[must_use]
    pub fn may_be_stored(&self) -> bool {
        self.may_be_stored
    }

    /// The verdict on the publication, or `None` while it is unknown.
    #[must_use]
    pub fn resolution(&self) -> Option<&Resolution> {
        self.resolution.as_ref()
    }

    /// Handles the answer to an append of [`Attempt::record`].
    pub fn on_append(&mut self, answer: &platform::Result<platform::Offset>) {
        let is_refused = matches!(answer, Err(platform::Error::Refused(_)));
        self.may_be_stored |= !is_refused;
    }

    /// Looks for the publication's verdict in the progress of a replica.
    pub fn on_read(&mut self, fold: &Fold, progress: &Progress) {
        let Some(offset) = fold.evaluated_at(&self.publication.id) else { return };
        if let Some(it) = progress.evaluations.iter().find(|it| it.offset == offset) {
            self.resolution = Some(Resolution { offset, verdict: it.verdict.clone() });
        }
    }
}

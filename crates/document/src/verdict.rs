//! The outcome of evaluating one record of the log.

use std::fmt;

use crate::{Finding, Offset, TeamId, Version, section::Id};

/// The outcome of evaluating one record of the log.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "lowercase", tag = "verdict")]
pub enum Verdict {
    /// The change was applied to the document.
    Accepted {
        /// The document's new version.
        version: Version,
    },
    /// The change was not applied and never will be.
    Rejected {
        /// Findings in the change; lines are counted from the start of each section.
        findings: Vec<Finding>,
        /// Changes of the same sections that the author had not read.
        conflicts: Vec<Conflict>,
    },
    /// The publication was evaluated before.
    Repeated {
        /// Offset of the first record with the publication.
        first: Offset,
    },
    /// The record isn't a publication.
    Skipped {
        /// Why the record can't be decoded.
        warning: String,
    },
    /// The record requires a newer release; this record and later ones aren't folded.
    Halted {
        /// Rules version that the record requires.
        rules: u32,
    },
}

/// An earlier change that caused the rejection of a later one.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Conflict {
    /// Section changed by both.
    pub section: Id,
    /// Offset of the earlier change.
    pub offset: Offset,
    /// Author of the earlier change.
    pub author: TeamId,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { section, offset, author } = self;
        write!(f, "[{section}] was changed by {author} at offset {offset}, after the base")
    }
}

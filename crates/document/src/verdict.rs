//! What the fold makes of one record of the log.

use std::fmt;

use crate::{Finding, Offset, TeamId, Version, section::Id};

/// What the fold makes of one record of the log.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "lowercase", tag = "verdict")]
pub enum Verdict {
    /// The change is in the document.
    Accepted {
        /// The document's new version.
        version: Version,
    },
    /// The change is not in the document and never will be.
    Rejected {
        /// What is wrong with the change; lines count from the start of each section.
        findings: Vec<Finding>,
        /// Changes of the same sections that the author had not read.
        conflicts: Vec<Conflict>,
    },
    /// The publication was judged before.
    Repeated {
        /// Offset of the record by which it was judged.
        first: Offset,
    },
    /// The record is no publication.
    Skipped {
        /// Why not.
        warning: String,
    },
    /// The record needs a later release; nothing from here on is folded.
    Halted {
        /// Fold rules that the record was made for.
        rules: u32,
    },
}

/// A change that stood in the way of a later one.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Conflict {
    /// Section that both change.
    pub section: Id,
    /// Offset of the change that came first.
    pub offset: Offset,
    /// Author of the change that came first.
    pub author: TeamId,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { section, offset, author } = self;
        write!(f, "[{section}] was changed by {author} at offset {offset}, after the base")
    }
}

//! A section in the state of the fold.

use crate::{Item, Offset, Section, TeamId};

/// The last change of a section.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Revision {
    pub(crate) offset: Offset,
    pub(crate) author: TeamId,
}

/// A section in the state of the fold.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    pub(crate) section: Section,
    pub(crate) item: Item,
    pub(crate) revision: Revision,
}

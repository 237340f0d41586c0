//! A section as the fold keeps it.

use crate::{Item, Offset, Section, TeamId};

/// The change that last touched a section.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Revision {
    pub(crate) offset: Offset,
    pub(crate) author: TeamId,
}

/// A section as the fold keeps it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    pub(crate) section: Section,
    pub(crate) item: Item,
    pub(crate) revision: Revision,
}

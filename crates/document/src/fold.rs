//! Folds the records of the log into the document.
//!
//! The verdict on a record depends only on the records before it, so every host that reads the log
//! gets the same document. Of two conflicting changes, the one with the lower offset wins.

mod entry;
mod owner;
mod validate;
mod window;

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    Document, Item, Offset, Publication, PublicationId, Section, TeamId, Verdict, Version,
    publication, section::Id,
};

pub(crate) use entry::{Entry, Revision};
pub use window::WINDOW_RECORDS;
pub(crate) use window::Window;

/// Version of the fold rules of this release.
///
/// It is incremented with every change that could make two releases give different verdicts on a
/// record.
pub const RULES_VERSION: u32 = 1;

/// The document as of an offset of the log, with the state needed to evaluate the next record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fold {
    pub(crate) end: Offset,
    pub(crate) version: Option<Version>,
    pub(crate) sections: BTreeMap<Id, Entry>,
    /// Sections removed so recently that a publication based on an earlier version can still arrive.
    pub(crate) removed: BTreeMap<Id, Revision>,
    pub(crate) window: Window,
    pub(crate) halted: Option<u32>,
}

impl Fold {
    /// First offset that is not folded yet, at which reading continues.
    #[must_use]
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Offset of the last accepted publication, or `None` before the first.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Rules version of the record that halted this fold because this release doesn't support it.
    #[must_use]
    pub fn halted(&self) -> Option<u32> {
        self.halted
    }

    /// The sections in the order of the document's normal form.
    pub fn sections(&self) -> impl Iterator<Item = &Section> {
        self.sections.values().map(|it| &it.section)
    }

    /// The section with the given id.
    #[must_use]
    pub fn section(&self, id: &Id) -> Option<&Section> {
        self.sections.get(id).map(|it| &it.section)
    }

    /// Offset at which a section last changed, or `None` if it isn't in the document.
    #[must_use]
    pub fn changed_at(&self, id: &Id) -> Option<Offset> {
        self.sections.get(id).map(|it| it.revision.offset)
    }

    /// Offset at which a publication was evaluated, or `None` if it wasn't within the last
    /// [`WINDOW_RECORDS`].
    #[must_use]
    pub fn evaluated_at(&self, id: &PublicationId) -> Option<Offset> {
        self.window.first(id)
    }

    /// Builds the document from the sections.
    #[must_use]
    pub fn document(&self) -> Document {
        self.sections.values().map(|it| &it.item).collect()
    }

    /// The document's text in normal form.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for section in self.sections() {
            if !text.is_empty() {
                text.push('\n');
            }
            text.push_str(&section.text);
            text.push('\n');
        }
        text
    }

    /// Evaluates the record at `offset` and applies it if it is accepted.
    ///
    /// The cost is proportional to the size of the document: validating the whole document is cheap,
    /// and there is no incremental check whose verdict could differ.
    pub fn apply(&mut self, offset: Offset, record: &[u8]) -> Verdict {
        if let Some(rules) = self.halted {
            return Verdict::Halted { rules };
        }
        if offset < self.end {
            return Verdict::Skipped { warning: "the offset was read before".to_owned() };
        }
        let publication = match Publication::decode(record) {
            Ok(it) => it,
            Err(publication::Error::UnsupportedRules(rules)) => {
                self.halted = Some(rules);
                return Verdict::Halted { rules };
            }
            Err(err) => {
                self.advance(offset);
                return Verdict::Skipped { warning: err.to_string() };
            }
        };
        self.advance(offset);
        if let Some(first) = self.window.first(&publication.id) {
            return Verdict::Repeated { first };
        }
        self.window.insert(&publication.id, offset);
        match validate::validate(self, offset, &publication) {
            Ok(changes) => self.commit(offset, &publication.author, changes),
            Err(rejection) => rejection,
        }
    }

    /// Moves the end to `next`; the log holds no records in between.
    pub(crate) fn skip_to(&mut self, next: Offset) {
        if next > self.end {
            self.advance(next - 1);
        }
    }

    /// Moves the end past `offset` and drops state that no later record needs.
    fn advance(&mut self, offset: Offset) {
        self.end = offset.saturating_add(1);
        self.window.prune(offset);
        self.removed.retain(|_, it| offset.saturating_sub(it.offset) <= WINDOW_RECORDS);
    }

    fn commit(&mut self, offset: Offset, author: &TeamId, changes: validate::Changes) -> Verdict {
        let revision = Revision { offset, author: Arc::clone(author) };
        for (id, change) in changes {
            if let Some((section, item)) = change {
                self.removed.remove(&id);
                self.sections.insert(id, Entry { section, item, revision: revision.clone() });
            } else {
                self.sections.remove(&id);
                self.removed.insert(id, revision.clone());
            }
        }
        self.version = Some(offset);
        Verdict::Accepted { version: offset }
    }

    /// Whether `team` may change every section.
    fn is_admin(&self, team: &TeamId) -> bool {
        let id = Id::new(crate::section::Kind::Team, team);
        matches!(self.sections.get(&id), Some(Entry { item: Item::Team(it), .. }) if it.admin)
    }
}

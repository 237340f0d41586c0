//! Folds the records of the log into the document.
//!
//! The verdict on a record depends on the records before it alone, so every host that reads the log
//! comes to the same document. The first of two conflicting changes wins by its offset.

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

/// Number of the rules by which this release folds.
///
/// It grows with every change that could make two releases judge a record differently.
pub const RULES_VERSION: u32 = 1;

/// The document as of an offset of the log, with all that decides on the next record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fold {
    pub(crate) end: Offset,
    pub(crate) version: Option<Version>,
    pub(crate) sections: BTreeMap<Id, Entry>,
    /// Sections removed so recently that a publication from before can still arrive.
    pub(crate) removed: BTreeMap<Id, Revision>,
    pub(crate) window: Window,
    pub(crate) halted: Option<u32>,
}

impl Fold {
    /// First offset that is not folded yet; where to read on.
    #[must_use]
    pub fn end(&self) -> Offset {
        self.end
    }

    /// Offset of the last accepted publication; none before the first.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Fold rules of the record that stopped this fold because this release doesn't know them.
    #[must_use]
    pub fn halted(&self) -> Option<u32> {
        self.halted
    }

    /// The sections in normal order.
    pub fn sections(&self) -> impl Iterator<Item = &Section> {
        self.sections.values().map(|it| &it.section)
    }

    /// The section of a name.
    #[must_use]
    pub fn section(&self, id: &Id) -> Option<&Section> {
        self.sections.get(id).map(|it| &it.section)
    }

    /// Offset at which a section last changed; none if the document doesn't hold it.
    #[must_use]
    pub fn changed_at(&self, id: &Id) -> Option<Offset> {
        self.sections.get(id).map(|it| it.revision.offset)
    }

    /// Offset at which a publication was judged; none if it never was, or too long ago.
    #[must_use]
    pub fn evaluated_at(&self, id: &PublicationId) -> Option<Offset> {
        self.window.first(id)
    }

    /// The document, built anew.
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

    /// Judges the record at `offset` and takes it in.
    ///
    /// The cost grows with the size of the document: whole validation is cheap, and so no shortcut
    /// can come to another verdict than it.
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

    /// Takes note that the log holds nothing between the fold's end and `next`.
    pub(crate) fn skip_to(&mut self, next: Offset) {
        if next > self.end {
            self.advance(next - 1);
        }
    }

    /// Moves the end past `offset` and forgets what no later record needs.
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

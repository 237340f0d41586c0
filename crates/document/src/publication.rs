//! A change of the document, the record that an author appends to the log.

use std::{collections::HashSet, sync::Arc};

use crate::{Offset, Section, TeamId, fold::RULES_VERSION, name, section::Id};

/// Stream of the log to which publications are appended.
pub const STREAM: &str = "fireflydrum-document";

/// Random unique id of a publication, by which repeated appends take effect only once.
pub type PublicationId = Arc<str>;

const FORMAT: &str = "fireflydrum-publication";

/// A change of the document, the record that an author appends to the log.
///
/// `base` applies to all changes: a change is up to date if its section last changed before `base`.
/// The log holds the offset of that last change.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Publication {
    /// Id by which repeated appends of the publication are recognized.
    pub id: PublicationId,
    /// Team in whose name the change is made.
    pub author: TeamId,
    /// First offset that the author had not read when making the change.
    pub base: Offset,
    /// Time of the change, in seconds since 1970. Informational only.
    #[serde(default)]
    pub made_at_s: u64,
    /// Reason for the change. Informational only.
    #[serde(default)]
    pub note: String,
    /// The changed sections; either all changes take effect or none.
    pub changes: Vec<Change>,
}

/// A change of one section.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Removes a section.
    Remove {
        /// Name of the section.
        section: Id,
    },
    /// Adds or replaces a section.
    Set {
        /// Text of the section, including its header.
        text: String,
    },
}

impl Change {
    /// The changes that turn the sections `before` into the sections `after`.
    pub fn between<'a>(
        before: impl IntoIterator<Item = &'a Section>,
        after: impl IntoIterator<Item = &'a Section>,
    ) -> Vec<Self> {
        let before: Vec<_> = before.into_iter().collect();
        let after: Vec<_> = after.into_iter().collect();
        let texts: HashSet<_> = before.iter().map(|it| &it.text).collect();
        let kept: HashSet<_> = after.iter().map(|it| &it.id).collect();
        let set = after.iter().filter(|it| !texts.contains(&it.text));
        let set = set.map(|it| Self::Set { text: it.text.to_string() });
        let removed = before.iter().filter(|it| !kept.contains(&it.id));
        set.chain(removed.map(|it| Self::Remove { section: it.id.clone() })).collect()
    }

    /// Id of the changed section, or `None` if the text isn't exactly one section.
    #[must_use]
    pub fn section(&self) -> Option<Id> {
        match self {
            Self::Remove { section } => Some(section.clone()),
            Self::Set { text } => Section::parse(text).ok().map(|it| it.id),
        }
    }
}

/// Why a record can't be decoded as a publication.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The record is truncated or not a publication.
    #[error("no publication: {0}")]
    Malformed(String),
    /// The record requires newer fold rules than this release supports.
    #[error("made for fold rules {0}, this release knows rules up to {RULES_VERSION}")]
    UnsupportedRules(u32),
}

#[derive(serde::Deserialize)]
struct Envelope {
    format: String,
    rules: u32,
}

#[derive(serde::Serialize)]
struct Record<'a> {
    format: &'a str,
    rules: u32,
    #[serde(flatten)]
    publication: &'a Publication,
}

impl Publication {
    /// Encodes the publication as a record of the log.
    ///
    /// # Panics
    ///
    /// Doesn't panic: every publication can be serialized as JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let record = Record { format: FORMAT, rules: RULES_VERSION, publication: self };
        serde_json::to_vec(&record).expect("a publication can be written as JSON")
    }

    /// Decodes a record of the log. The record is untrusted input.
    ///
    /// # Errors
    ///
    /// [`Error::UnsupportedRules`] if a later release made the record, and [`Error::Malformed`] if it isn't a
    /// publication at all.
    pub fn decode(record: &[u8]) -> Result<Self, Error> {
        let malformed = |err: serde_json::Error| Error::Malformed(err.to_string());
        let envelope: Envelope = serde_json::from_slice(record).map_err(malformed)?;
        if envelope.format != FORMAT {
            return Err(Error::Malformed("another format".to_owned()));
        }
        if envelope.rules > RULES_VERSION {
            return Err(Error::UnsupportedRules(envelope.rules));
        }
        let publication: Self = serde_json::from_slice(record).map_err(malformed)?;
        name::check(&publication.id).map_err(Error::Malformed)?;
        name::check(&publication.author).map_err(Error::Malformed)?;
        Ok(publication)
    }
}

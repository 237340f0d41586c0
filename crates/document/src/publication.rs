//! A change of the document, as an author appends it to the log.

use std::{collections::HashSet, sync::Arc};

use crate::{Offset, Section, TeamId, fold::RULES_VERSION, name, section::Id};

/// Stream of the log to which publications are appended.
pub const STREAM: &str = "fireflydrum-document";

/// Name by which a publication counts once, however often it is appended; random and unique.
pub type PublicationId = Arc<str>;

const FORMAT: &str = "fireflydrum-publication";

/// A change of the document, as an author appends it to the log.
///
/// One `base` stands for the base of each section: a change is up to date if its section last
/// changed before `base`, and the log says when that was.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Publication {
    /// Name by which the publication counts once.
    pub id: PublicationId,
    /// Team for which the change is made.
    pub author: TeamId,
    /// First offset that the author had not yet read when the change was made.
    pub base: Offset,
    /// Time at which the change was made, in seconds since 1970; for people, decides nothing.
    #[serde(default)]
    pub made_at_s: u64,
    /// Why the change was made; for people, decides nothing.
    #[serde(default)]
    pub note: String,
    /// What changes; all of it takes effect or nothing.
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
    /// Adds a section or replaces it whole.
    Set {
        /// Text of the section, its header included.
        text: String,
    },
}

impl Change {
    /// The changes that make the sections `after` out of the sections `before`.
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

    /// The section that changes; none if the text isn't one section.
    #[must_use]
    pub fn section(&self) -> Option<Id> {
        match self {
            Self::Remove { section } => Some(section.clone()),
            Self::Set { text } => Section::parse(text).ok().map(|it| it.id),
        }
    }
}

/// Why a record holds no publication that can be judged.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The record is foreign or torn.
    #[error("no publication: {0}")]
    Malformed(String),
    /// The record was made for later rules than this release knows.
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
    /// The record that is appended to the log.
    ///
    /// # Panics
    ///
    /// Never: every publication has a representation in JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let record = Record { format: FORMAT, rules: RULES_VERSION, publication: self };
        serde_json::to_vec(&record).expect("a publication can be written as JSON")
    }

    /// Reads a record of the log; anyone may have appended it.
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

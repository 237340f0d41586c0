//! The fold as of an offset, written down so that a new reader need not start at the beginning.
//!
//! Any host may append a snapshot; duplicates do no harm. The ids of recent publications, the
//! offsets of all sections and the recently removed ones are part of it, so that a reader that
//! starts from it judges every later record as all others do.

mod schedule;

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Finding, Fold, Item, Offset, PublicationId, RULES_VERSION, Section, Version, check,
    fold::{Entry, Revision, WINDOW_RECORDS, Window},
    report::Report,
    section::Id,
};

pub use schedule::{Schedule, Settings};

/// Stream of the log to which snapshots are appended.
pub const STREAM: &str = "fireflydrum-snapshots";

const FORMAT: &str = "fireflydrum-snapshot";

/// Why a record holds no snapshot from which a reader can start.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The record is foreign, torn or damaged.
    #[error("no snapshot: {0}")]
    Damaged(String),
    /// The snapshot contradicts itself or the log.
    #[error("false snapshot: {0}")]
    Inconsistent(String),
    /// The snapshot was made under later rules than this release knows.
    #[error("made under fold rules {0}, this release knows rules up to {RULES_VERSION}")]
    UnsupportedRules(u32),
}

/// First line of the record.
#[derive(serde::Deserialize, serde::Serialize)]
struct Header {
    format: String,
    rules: u32,
    /// First offset of the log that the snapshot doesn't cover.
    end: Offset,
    /// Time of writing, in seconds since 1970.
    written_s: u64,
    /// XXH3 of the body, which is the rest of the record.
    checksum: u64,
}

#[derive(serde::Deserialize, serde::Serialize)]
struct Body {
    end: Offset,
    version: Option<Version>,
    sections: Vec<Stored>,
    removed: Vec<Removed>,
    ids: Vec<(Offset, PublicationId)>,
}

#[derive(serde::Deserialize, serde::Serialize)]
struct Stored {
    text: String,
    #[serde(flatten)]
    revision: Revision,
}

#[derive(serde::Deserialize, serde::Serialize)]
struct Removed {
    section: Id,
    #[serde(flatten)]
    revision: Revision,
}

/// Writes the fold down as a record for [`STREAM`], `written_s` seconds after 1970.
///
/// Equal folds written at the same time give equal bytes.
///
/// # Panics
///
/// Never: every fold has a representation in JSON.
#[must_use]
pub fn encode(fold: &Fold, written_s: u64) -> Vec<u8> {
    let body = encode_body(fold);
    let checksum = xxh3_64(&body);
    let (format, end) = (FORMAT.to_owned(), fold.end);
    let header = Header { format, rules: RULES_VERSION, end, written_s, checksum };
    let mut record = serde_json::to_vec(&header).expect("a header can be written as JSON");
    record.push(b'\n');
    record.extend(body);
    record
}

/// A number that equal folds share, so that hosts can notice that they disagree.
#[must_use]
pub fn digest(fold: &Fold) -> u64 {
    xxh3_64(&encode_body(fold))
}

/// Time at which `record` says that it was written, in seconds since 1970; 0 if it says nothing.
#[must_use]
pub fn written_s(record: &[u8]) -> u64 {
    split(record).map_or(0, |(header, _)| header.written_s)
}

/// Reads a snapshot; anyone may have appended it.
///
/// # Errors
///
/// Everything that speaks against starting from it.
pub fn decode(record: &[u8]) -> Result<Fold, Error> {
    let (header, body) = split(record)?;
    if header.rules > RULES_VERSION {
        return Err(Error::UnsupportedRules(header.rules));
    }
    if xxh3_64(body) != header.checksum {
        return Err(Error::Damaged("the checksum doesn't match".to_owned()));
    }
    let body: Body = serde_json::from_slice(body).map_err(|it| damaged(&it))?;
    if body.end != header.end {
        return Err(Error::Inconsistent("header and body end at different offsets".to_owned()));
    }
    body.into_fold()
}

fn encode_body(fold: &Fold) -> Vec<u8> {
    serde_json::to_vec(&Body::from(fold)).expect("a fold can be written as JSON")
}

fn split(record: &[u8]) -> Result<(Header, &[u8]), Error> {
    let newline = record.iter().position(|&it| it == b'\n');
    let newline = newline.ok_or_else(|| Error::Damaged("no header".to_owned()))?;
    let header: Header = serde_json::from_slice(&record[..newline]).map_err(|it| damaged(&it))?;
    if header.format != FORMAT {
        return Err(Error::Damaged("another format".to_owned()));
    }
    Ok((header, &record[newline + 1..]))
}

fn damaged(err: &serde_json::Error) -> Error {
    Error::Damaged(err.to_string())
}

impl From<&Fold> for Body {
    fn from(fold: &Fold) -> Self {
        let sections = fold.sections.values().map(|Entry { section, revision, .. }| Stored {
            text: section.text.to_string(),
            revision: revision.clone(),
        });
        let removed = fold.removed.iter().map(|(section, revision)| Removed {
            section: section.clone(),
            revision: revision.clone(),
        });
        Self {
            end: fold.end,
            version: fold.version,
            sections: sections.collect(),
            removed: removed.collect(),
            ids: fold.window.iter().cloned().collect(),
        }
    }
}

impl Body {
    fn into_fold(self) -> Result<Fold, Error> {
        self.check_offsets()?;
        let mut sections = BTreeMap::new();
        for Stored { text, revision } in self.sections {
            let section = Section::parse(&text).map_err(|it| invalid(&it))?;
            let item = Item::parse(&section).map_err(|it| invalid(&it))?;
            let id = section.id.clone();
            if sections.insert(id, Entry { section, item, revision }).is_some() {
                return Err(Error::Inconsistent("a section stands twice".to_owned()));
            }
        }
        if self.version.is_some() {
            let mut report = Report::default();
            check::check(|| sections.values().map(|it| (&it.section, Some(&it.item))), &mut report);
            report.finish().map_err(|it| invalid(&it))?;
        }
        let mut window = Window::default();
        for (offset, id) in &self.ids {
            window.insert(id, *offset);
        }
        let removed = self.removed.into_iter().map(|it| (it.section, it.revision)).collect();
        let (end, version) = (self.end, self.version);
        Ok(Fold { end, version, sections, removed, window, halted: None })
    }

    /// Every offset lies before the end, and the version is the last of the changes.
    fn check_offsets(&self) -> Result<(), Error> {
        let revisions = self.sections.iter().map(|it| &it.revision);
        let revisions = revisions.chain(self.removed.iter().map(|it| &it.revision));
        let last = revisions.map(|it| it.offset).max();
        let is_covered = self.version.is_none_or(|it| it < self.end);
        if !is_covered || last > self.version || self.sections.is_empty() != self.version.is_none()
        {
            return Err(Error::Inconsistent("its version contradicts its sections".to_owned()));
        }
        let is_ascending = self.ids.is_sorted_by(|(a, _), (b, _)| a < b);
        let is_recent =
            |offset: Offset| offset < self.end && self.end - offset <= WINDOW_RECORDS + 1;
        if !is_ascending || !self.ids.iter().all(|(offset, _)| is_recent(*offset)) {
            return Err(Error::Inconsistent("its ids are out of order".to_owned()));
        }
        Ok(())
    }
}

fn invalid(findings: &[Finding]) -> Error {
    let first = findings.first().map(ToString::to_string);
    Error::Inconsistent(first.unwrap_or_default())
}

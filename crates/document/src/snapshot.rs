//! Serialized state of the fold, so that a new reader need not start at the beginning of the log.
//!
//! Any host may append a snapshot; duplicates are harmless. A snapshot includes the ids of recent
//! publications, the offsets of all sections and the recently removed sections, so that a reader
//! that starts from it gives the same verdicts as every other reader.

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

/// Why a record isn't a usable snapshot.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The record is truncated, corrupt or not a snapshot.
    #[error("not a snapshot, or corrupt: {0}")]
    Damaged(String),
    /// The parts of the snapshot contradict each other.
    #[error("inconsistent snapshot: {0}")]
    Inconsistent(String),
    /// The snapshot requires newer fold rules than this release supports.
    #[error("requires fold rules {0}; this release supports rules up to {RULES_VERSION}")]
    UnsupportedRules(u32),
}

/// First line of the record.
#[derive(serde::Deserialize, serde::Serialize)]
struct Header {
    format: String,
    rules: u32,
    /// First offset of the log after the snapshot.
    end: Offset,
    /// Time of writing, in seconds since 1970.
    written_s: u64,
    /// XXH3 hash of the body, which is the rest of the record.
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

/// Serializes the fold as a record for [`STREAM`]; `written_s` is the time in seconds since 1970.
///
/// Equal folds and times give equal bytes.
///
/// # Panics
///
/// Doesn't panic: every fold can be serialized as JSON.
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

/// Hash of the fold, by which hosts detect that their folds differ.
#[must_use]
pub fn digest(fold: &Fold) -> u64 {
    xxh3_64(&encode_body(fold))
}

/// Time of writing in the header of `record`, in seconds since 1970; 0 if there is no valid header.
#[must_use]
pub fn written_s(record: &[u8]) -> u64 {
    split(record).map_or(0, |(header, _)| header.written_s)
}

/// Deserializes a snapshot. The record is untrusted input.
///
/// # Errors
///
/// Returns why the record isn't a usable snapshot.
pub fn decode(record: &[u8]) -> Result<Fold, Error> {
    let (header, body) = split(record)?;
    if header.rules > RULES_VERSION {
        return Err(Error::UnsupportedRules(header.rules));
    }
    if xxh3_64(body) != header.checksum {
        return Err(Error::Damaged("checksum mismatch".to_owned()));
    }
    let body: Body = serde_json::from_slice(body).map_err(|it| damaged(&it))?;
    if body.end != header.end {
        return Err(Error::Inconsistent("end offsets of header and body differ".to_owned()));
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
        return Err(Error::Damaged("unknown format".to_owned()));
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
                return Err(Error::Inconsistent("duplicate section".to_owned()));
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

    /// Checks that all offsets are before the end and that the version isn't older than any change.
    fn check_offsets(&self) -> Result<(), Error> {
        let revisions = self.sections.iter().map(|it| &it.revision);
        let revisions = revisions.chain(self.removed.iter().map(|it| &it.revision));
        let last = revisions.map(|it| it.offset).max();
        let is_covered = self.version.is_none_or(|it| it < self.end);
        if !is_covered || last > self.version || self.sections.is_empty() != self.version.is_none()
        {
            return Err(Error::Inconsistent("version and sections don't match".to_owned()));
        }
        let is_ascending = self.ids.is_sorted_by(|(a, _), (b, _)| a < b);
        let is_recent =
            |offset: Offset| offset < self.end && self.end - offset <= WINDOW_RECORDS + 1;
        if !is_ascending || !self.ids.iter().all(|(offset, _)| is_recent(*offset)) {
            return Err(Error::Inconsistent("publication ids out of order or too old".to_owned()));
        }
        Ok(())
    }
}

fn invalid(findings: &[Finding]) -> Error {
    let first = findings.first().map(ToString::to_string);
    Error::Inconsistent(first.unwrap_or_default())
}

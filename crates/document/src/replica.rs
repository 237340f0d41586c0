//! Follows the log, starting from a snapshot or from the beginning.
//!
//! A replica does no I/O: it returns the next read request and is given the answer. It starts from
//! the newest usable snapshot, or from the beginning if the log still retains it, and never goes
//! back to an older version.

use std::fmt;

use crate::{Fold, Offset, Verdict, publication, snapshot};

/// Maximum number of snapshots tried before the replica continues without one.
const MAX_TRIES: u32 = 16;
/// Maximum number of records per read.
const PAGE_LIMIT: usize = 256;

/// The next read of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Stream of the log.
    pub stream: &'static str,
    /// First offset to read.
    pub from: Offset,
    /// Maximum number of records to read.
    pub limit: usize,
}

/// State of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase", tag = "state")]
pub enum State {
    /// The replica looks for a snapshot to start from, also after it fell behind the log's retention.
    Starting,
    /// The replica follows the log.
    Following,
    /// The log no longer retains the records that the replica needs, and there is no usable snapshot.
    Gap,
    /// The log ends before the end of the fold: it has lost records.
    Ahead,
    /// The replica read a record that requires newer fold rules.
    Halted {
        /// Rules version of the record.
        rules: u32,
    },
}

/// The verdict on one record.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Evaluation {
    /// Offset of the record.
    pub offset: Offset,
    /// Verdict of the fold.
    #[serde(flatten)]
    pub verdict: Verdict,
}

/// Result of applying one answer of the log.
#[derive(Clone, Debug, Default, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "independent flags")]
pub struct Progress {
    /// Verdicts on the records read, in order.
    pub evaluations: Vec<Evaluation>,
    /// Whether the replica has read the log to its end.
    pub is_current: bool,
    /// Whether another read at once would return nothing new.
    pub should_wait: bool,
    /// Whether the fold was replaced by a snapshot.
    pub is_reset: bool,
    /// Whether the version of [`Replica::in_force`] changed.
    pub has_new_version: bool,
    /// Why snapshots were skipped.
    pub warnings: Vec<String>,
}

/// Follows the log, starting from a snapshot or from the beginning.
#[derive(Clone, Debug)]
pub struct Replica {
    fold: Fold,
    phase: Phase,
    state: State,
    /// Whether the fold has reached the end of the log at least once.
    is_ready: bool,
    /// Records per read; reduced after a failed read, since its answer may have been too large.
    limit: usize,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Reads where the stream of snapshots ends.
    Locate,
    /// Reads the snapshot at the cursor.
    Load(Cursor),
    /// Verifies that the log continues at the end of the snapshot at the cursor.
    Verify(Cursor, Box<Fold>),
    /// Continues from the fold's end, since there is no usable snapshot.
    Resume,
    /// Reads the log from the fold's end.
    Follow,
}

/// Position in the stream of snapshots, which is read backwards.
#[derive(Clone, Copy, Debug)]
struct Cursor {
    /// Offset of the snapshot to read.
    offset: Offset,
    /// Offset of the oldest snapshot retained.
    oldest: Offset,
    tries: u32,
}

impl Default for Replica {
    fn default() -> Self {
        Self {
            fold: Fold::default(),
            phase: Phase::Locate,
            state: State::Starting,
            is_ready: false,
            limit: PAGE_LIMIT,
        }
    }
}

impl Replica {
    /// The fold of the records read so far.
    #[must_use]
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// The fold that a host may serve from, or `None` until the replica has read the log to its end
    /// once or adopted a peer's snapshot.
    ///
    /// A host that served from the fold while catching up would apply versions that are no longer in
    /// force on any other host.
    #[must_use]
    pub fn in_force(&self) -> Option<&Fold> {
        Some(&self.fold).filter(|_| self.is_ready)
    }

    /// The state of the replica.
    #[must_use]
    pub fn state(&self) -> State {
        self.fold.halted().map_or(self.state, |rules| State::Halted { rules })
    }

    /// The next read, or `None` once halted.
    #[must_use]
    pub fn request(&self) -> Option<Request> {
        if self.fold.halted().is_some() {
            return None;
        }
        let snapshot = |from| Request { stream: snapshot::STREAM, from, limit: 1 };
        let records = |from| Request { stream: publication::STREAM, from, limit: self.limit };
        Some(match &self.phase {
            Phase::Locate => snapshot(Offset::MAX),
            Phase::Load(cursor) => snapshot(cursor.offset),
            Phase::Verify(_, fold) => records(fold.end()),
            Phase::Resume | Phase::Follow => records(self.fold.end()),
        })
    }

    /// Applies the answer to [`Replica::request`]: the oldest offset retained, the offset at which to
    /// continue, and the records.
    pub fn apply_page<R: AsRef<[u8]>>(
        &mut self,
        first: Offset,
        next: Offset,
        records: &[(Offset, R)],
    ) -> Progress {
        let before = self.in_force().and_then(Fold::version);
        let mut progress = self.advance(first, next, records);
        progress.has_new_version = self.in_force().and_then(Fold::version) != before;
        progress
    }

    fn advance<R: AsRef<[u8]>>(
        &mut self,
        first: Offset,
        next: Offset,
        records: &[(Offset, R)],
    ) -> Progress {
        match std::mem::replace(&mut self.phase, Phase::Follow) {
            Phase::Locate => {
                self.phase = match next.checked_sub(1).filter(|offset| *offset >= first) {
                    Some(offset) => Phase::Load(Cursor { offset, oldest: first, tries: 0 }),
                    None => Phase::Resume,
                };
                Progress::default()
            }
            Phase::Load(cursor) => {
                let record = records.iter().find(|(offset, _)| *offset == cursor.offset);
                self.load_snapshot(cursor, record.map(|(_, it)| it.as_ref()))
            }
            Phase::Verify(cursor, fold) if next < fold.end() || first > fold.end() => {
                self.skip_snapshot(cursor, "the log doesn't continue at its end")
            }
            Phase::Verify(_, fold) => {
                self.fold = *fold;
                Progress { is_reset: true, ..self.follow(next, records) }
            }
            phase @ (Phase::Resume | Phase::Follow) if first > self.fold.end() => {
                self.phase = phase;
                self.on_trimmed()
            }
            Phase::Resume | Phase::Follow => self.follow(next, records),
        }
    }

    /// Handles the answer that the log no longer retains the records of [`Replica::request`].
    pub fn on_trimmed(&mut self) -> Progress {
        match std::mem::replace(&mut self.phase, Phase::Locate) {
            Phase::Verify(cursor, _) => {
                return self
                    .skip_snapshot(cursor, "the log no longer retains the records after it");
            }
            Phase::Load(cursor) => {
                return self.skip_snapshot(cursor, "the log no longer retains it");
            }
            Phase::Resume => {
                self.state = State::Gap;
                return Progress { should_wait: true, ..Progress::default() };
            }
            Phase::Follow => self.state = State::Starting,
            Phase::Locate => {}
        }
        Progress::default()
    }

    /// Handles a failed read of [`Replica::request`]; the next one requests fewer records.
    pub fn on_failure(&mut self) {
        self.limit = (self.limit / 4).max(1);
    }

    /// Replaces the fold by a snapshot from a peer if that is ahead. Returns whether it was replaced.
    ///
    /// # Errors
    ///
    /// Returns why the snapshot can't be decoded.
    pub fn adopt_snapshot(&mut self, record: &[u8]) -> Result<bool, snapshot::Error> {
        let fold = snapshot::decode(record)?;
        if fold.end() <= self.fold.end() || fold.version() < self.fold.version() {
            return Ok(false);
        }
        self.fold = fold;
        self.phase = Phase::Follow;
        self.is_ready = true;
        Ok(true)
    }

    fn follow<R: AsRef<[u8]>>(&mut self, next: Offset, records: &[(Offset, R)]) -> Progress {
        let mut progress = Progress::default();
        let end = self.fold.end();
        if next < end {
            self.state = State::Ahead;
            progress.should_wait = true;
            return progress;
        }
        self.state = State::Following;
        for (offset, record) in records.iter().filter(|(offset, _)| *offset >= end) {
            let verdict = self.fold.apply(*offset, record.as_ref());
            progress.evaluations.push(Evaluation { offset: *offset, verdict });
            if self.fold.halted().is_some() {
                return progress;
            }
        }
        self.fold.skip_to(next);
        self.limit = (self.limit * 2).min(PAGE_LIMIT);
        progress.is_current = next == end;
        self.is_ready |= progress.is_current;
        progress.should_wait = progress.is_current;
        progress
    }

    fn load_snapshot(&mut self, cursor: Cursor, record: Option<&[u8]>) -> Progress {
        let missing = || snapshot::Error::Damaged("no record".to_owned());
        match record.ok_or_else(missing).and_then(snapshot::decode) {
            Ok(fold) if fold.end() < self.fold.end() || fold.version() < self.fold.version() => {
                self.skip_snapshot(cursor, "older than the records already read")
            }
            Ok(fold) => {
                self.phase = Phase::Verify(cursor, Box::new(fold));
                Progress::default()
            }
            Err(err) => self.skip_snapshot(cursor, &err.to_string()),
        }
    }

    /// Continues with the preceding snapshot, or without one if none is left to try.
    fn skip_snapshot(&mut self, cursor: Cursor, reason: &str) -> Progress {
        let tries = cursor.tries + 1;
        self.phase = if cursor.offset > cursor.oldest && tries < MAX_TRIES {
            Phase::Load(Cursor { offset: cursor.offset - 1, tries, ..cursor })
        } else {
            Phase::Resume
        };
        let warning = format!("snapshot at offset {} skipped: {reason}", cursor.offset);
        Progress { warnings: vec![warning], ..Progress::default() }
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Starting => f.write_str("starting"),
            Self::Following => f.write_str("following"),
            Self::Gap => f.write_str("records missing from the log and no usable snapshot"),
            Self::Ahead => f.write_str("ahead of the log, which lost records"),
            Self::Halted { rules } => {
                write!(f, "halted at a record that requires fold rules {rules}")
            }
        }
    }
}

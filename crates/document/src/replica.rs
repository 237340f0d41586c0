//! Follows the log from wherever a reader can start.
//!
//! A replica does no I/O: it says what to read next and takes the answer. It starts from the newest
//! usable snapshot, or from the beginning if the log still keeps it, and never goes back to an older
//! version than it had.

use std::fmt;

use crate::{Fold, Offset, Verdict, publication, snapshot};

/// Snapshots that a replica tries before it gives up.
const MAX_TRIES: u32 = 16;
/// Most records asked for at once.
const PAGE_LIMIT: usize = 256;

/// What to read next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Stream of the log.
    pub stream: &'static str,
    /// First offset to read.
    pub from: Offset,
    /// Most records to read.
    pub limit: usize,
}

/// How far a replica has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase", tag = "state")]
pub enum State {
    /// It looks for a place to start, or for one to go on after it fell behind.
    Starting,
    /// It follows the log.
    Following,
    /// The log no longer keeps what it needs and holds no usable snapshot.
    Gap,
    /// The log ends before what was folded already: it has lost records.
    Ahead,
    /// It met a record made for later fold rules.
    Halted {
        /// Fold rules of the record.
        rules: u32,
    },
}

/// A record and what the fold made of it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Evaluation {
    /// Position of the record.
    pub offset: Offset,
    /// What the fold made of it.
    #[serde(flatten)]
    pub verdict: Verdict,
}

/// What came of one answer of the log.
#[derive(Clone, Debug, Default, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "four independent facts about one answer")]
pub struct Progress {
    /// Records that were judged, in order.
    pub evaluations: Vec<Evaluation>,
    /// Whether the replica has read all that the log holds.
    pub is_current: bool,
    /// Whether asking again at once would bring nothing new.
    pub should_wait: bool,
    /// Whether the fold was replaced by that of a snapshot.
    pub is_reset: bool,
    /// Whether [`Replica::in_force`] has another version than before.
    pub has_new_version: bool,
    /// Why snapshots were passed over.
    pub warnings: Vec<String>,
}

/// Follows the log from wherever a reader can start.
#[derive(Clone, Debug)]
pub struct Replica {
    fold: Fold,
    phase: Phase,
    state: State,
    /// Whether the fold has been up to date once.
    is_ready: bool,
    /// Records to ask for; fewer after a read that failed, since its answer may have been too large.
    limit: usize,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Asks where the stream of snapshots ends.
    Locate,
    /// Reads the snapshot at the cursor.
    Load(Cursor),
    /// Makes sure that the log goes on where the snapshot at the cursor ends.
    Verify(Cursor, Box<Fold>),
    /// Tries to read on from the fold's end, since no snapshot helped.
    Resume,
    /// Reads on from the fold's end.
    Follow,
}

/// Place in the stream of snapshots, which is read backwards.
#[derive(Clone, Copy, Debug)]
struct Cursor {
    /// Snapshot to read.
    at: Offset,
    /// Oldest snapshot kept.
    first: Offset,
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
    /// The document as far as it was read.
    #[must_use]
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// The document that a host may serve by; none before the replica has once read all that the log
    /// held, or taken a peer's snapshot.
    ///
    /// A host that served by what it reads on its way there would go through versions that are in
    /// force nowhere any more.
    #[must_use]
    pub fn in_force(&self) -> Option<&Fold> {
        Some(&self.fold).filter(|_| self.is_ready)
    }

    /// How far the replica has come.
    #[must_use]
    pub fn state(&self) -> State {
        self.fold.halted().map_or(self.state, |rules| State::Halted { rules })
    }

    /// What to read next; nothing once halted.
    #[must_use]
    pub fn request(&self) -> Option<Request> {
        if self.fold.halted().is_some() {
            return None;
        }
        let snapshot = |from| Request { stream: snapshot::STREAM, from, limit: 1 };
        let records = |from| Request { stream: publication::STREAM, from, limit: self.limit };
        Some(match &self.phase {
            Phase::Locate => snapshot(Offset::MAX),
            Phase::Load(cursor) => snapshot(cursor.at),
            Phase::Verify(_, fold) => records(fold.end()),
            Phase::Resume | Phase::Follow => records(self.fold.end()),
        })
    }

    /// Takes the answer to [`Replica::request`]: the oldest offset kept, where to read on, and the
    /// records.
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
                self.phase = match next.checked_sub(1).filter(|at| *at >= first) {
                    Some(at) => Phase::Load(Cursor { at, first, tries: 0 }),
                    None => Phase::Resume,
                };
                Progress::default()
            }
            Phase::Load(cursor) => {
                let record = records.iter().find(|(offset, _)| *offset == cursor.at);
                self.load_snapshot(cursor, record.map(|(_, it)| it.as_ref()))
            }
            Phase::Verify(cursor, fold) if next < fold.end() || first > fold.end() => {
                self.skip_snapshot(cursor, "the log doesn't go on where it ends")
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

    /// Takes the answer that the log no longer keeps what [`Replica::request`] asked for.
    pub fn on_trimmed(&mut self) -> Progress {
        match std::mem::replace(&mut self.phase, Phase::Locate) {
            Phase::Verify(cursor, _) => {
                return self.skip_snapshot(cursor, "the log no longer keeps what follows it");
            }
            Phase::Load(cursor) => {
                return self.skip_snapshot(cursor, "the log no longer keeps it");
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

    /// Takes note that [`Replica::request`] got no answer; the next one asks for less.
    pub fn on_failure(&mut self) {
        self.limit = (self.limit / 4).max(1);
    }

    /// Takes a snapshot from a peer, if it is ahead of what was folded here; tells whether it was.
    ///
    /// # Errors
    ///
    /// Everything that speaks against starting from it.
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
                self.skip_snapshot(cursor, "older than what was read already")
            }
            Ok(fold) => {
                self.phase = Phase::Verify(cursor, Box::new(fold));
                Progress::default()
            }
            Err(err) => self.skip_snapshot(cursor, &err.to_string()),
        }
    }

    /// Goes on with the snapshot before, or without one if there is none left to try.
    fn skip_snapshot(&mut self, cursor: Cursor, reason: &str) -> Progress {
        let tries = cursor.tries + 1;
        self.phase = if cursor.at > cursor.first && tries < MAX_TRIES {
            Phase::Load(Cursor { at: cursor.at - 1, tries, ..cursor })
        } else {
            Phase::Resume
        };
        let warning = format!("snapshot at offset {} passed over: {reason}", cursor.at);
        Progress { warnings: vec![warning], ..Progress::default() }
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Starting => f.write_str("starting"),
            Self::Following => f.write_str("following"),
            Self::Gap => f.write_str("behind a gap in the log"),
            Self::Ahead => f.write_str("ahead of a log that lost records"),
            Self::Halted { rules } => write!(f, "halted before fold rules {rules}"),
        }
    }
}

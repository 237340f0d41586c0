//! The platform's log on virtual time, with its faults.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use document::{Offset, publication, snapshot};
use fastrand::Rng;
use platform::{Error, Log, Page, Record, Result};

/// What can go wrong at present.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// No call takes effect, but a record sent now may arrive later.
    pub(crate) is_down: bool,
    /// Time that each call takes.
    pub(crate) latency: Duration,
    /// Appends in a hundred whose answer is lost.
    pub(crate) lost_percent: u8,
    /// Appends in a hundred that are kept twice.
    pub(crate) twice_percent: u8,
}

impl Default for Faults {
    fn default() -> Self {
        let latency = Duration::from_millis(5);
        Self { is_down: false, latency, lost_percent: 0, twice_percent: 0 }
    }
}

/// The platform's log.
pub(crate) struct Store {
    state: Mutex<State>,
}

struct State {
    faults: Faults,
    now: Duration,
    rng: Rng,
    retention: Duration,
    records: Stream,
    snapshots: Stream,
    /// Records on their way, with the time at which they arrive.
    late: Vec<(Duration, String, Bytes)>,
}

#[derive(Default)]
struct Stream {
    first: Offset,
    kept: VecDeque<(Duration, Bytes)>,
}

impl Store {
    pub(crate) fn new(retention: Duration, rng: Rng) -> Self {
        let state = State {
            faults: Faults::default(),
            now: Duration::ZERO,
            rng,
            retention,
            records: Stream::default(),
            snapshots: Stream::default(),
            late: Vec::new(),
        };
        Self { state: Mutex::new(state) }
    }

    /// Moves the log's time, and lets late records arrive if it is up.
    pub(crate) fn advance(&self, now: Duration) {
        let mut state = self.lock();
        state.now = now;
        state.arrive();
    }

    pub(crate) fn faults(&self) -> Faults {
        self.lock().faults
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Appends a record past all faults.
    pub(crate) fn inject(&self, stream: &str, record: Bytes) {
        let mut state = self.lock();
        let now = state.now;
        state.stream(stream).push(record, now);
    }

    /// The last record of a stream.
    pub(crate) fn last(&self, stream: &str) -> Option<Bytes> {
        self.lock().stream(stream).kept.back().map(|(_, record)| record.clone())
    }

    /// The records of the document that arrived from `from` on, with their time.
    pub(crate) fn arrived(&self, from: Offset) -> Vec<(Offset, Duration, Bytes)> {
        let state = self.lock();
        let skip = usize::try_from(from.saturating_sub(state.records.first)).unwrap_or(usize::MAX);
        let kept = state.records.kept.iter().skip(skip).zip(from..);
        kept.map(|((at, record), offset)| (offset, *at, record.clone())).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the log's state")
    }
}

impl Log for Store {
    fn append(&self, stream: &str, record: &Bytes) -> Result<Offset> {
        self.lock().append(stream, record)
    }

    fn read(&self, stream: &str, from: Offset, limit: usize) -> Result<Page> {
        let mut state = self.lock();
        if state.faults.is_down {
            return Err(Error::Unavailable("down".to_owned()));
        }
        let (retention, now) = (state.retention, state.now);
        let stream = state.stream(stream);
        stream.expire(retention, now);
        stream.page(from, limit)
    }
}

impl State {
    fn append(&mut self, stream: &str, record: &Bytes) -> Result<Offset> {
        let Faults { is_down, lost_percent, twice_percent, .. } = self.faults;
        let is_late = self.rng.u8(..100) < if is_down { 33 } else { lost_percent / 2 };
        if is_late {
            let at = self.now + Duration::from_millis(self.rng.u64(1..20_000));
            self.late.push((at, stream.to_owned(), record.clone()));
            return Err(Error::Unknown("on its way".to_owned()));
        }
        if is_down && self.rng.bool() {
            return Err(Error::Refused("down".to_owned()));
        }
        if is_down {
            return Err(Error::Unknown("down".to_owned()));
        }
        let is_twice = self.rng.u8(..100) < twice_percent;
        let is_lost = self.rng.u8(..100) < lost_percent;
        let now = self.now;
        let target = self.stream(stream);
        let offset = target.push(record.clone(), now);
        if is_twice {
            target.push(record.clone(), now);
        }
        if is_lost { Err(Error::Unknown("answer lost".to_owned())) } else { Ok(offset) }
    }

    /// Lets late records arrive once the log is up.
    fn arrive(&mut self) {
        if self.faults.is_down {
            return;
        }
        let now = self.now;
        for (at, stream, record) in std::mem::take(&mut self.late) {
            if at <= now {
                self.stream(&stream).push(record, now);
            } else {
                self.late.push((at, stream, record));
            }
        }
    }

    fn stream(&mut self, name: &str) -> &mut Stream {
        match name {
            publication::STREAM => &mut self.records,
            snapshot::STREAM => &mut self.snapshots,
            other => panic!("no stream {other}"),
        }
    }
}

impl Stream {
    fn end(&self) -> Offset {
        self.first + self.kept.len() as u64
    }

    fn push(&mut self, record: Bytes, now: Duration) -> Offset {
        self.kept.push_back((now, record));
        self.end() - 1
    }

    fn expire(&mut self, retention: Duration, now: Duration) {
        while self.kept.front().is_some_and(|(at, _)| *at + retention < now) {
            self.kept.pop_front();
            self.first += 1;
        }
    }

    fn page(&self, from: Offset, limit: usize) -> Result<Page> {
        if from < self.first {
            return Err(Error::Gone { first: self.first });
        }
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let found = self.kept.iter().skip(skip).take(limit).zip(from..);
        let records: Vec<_> =
            found.map(|((_, data), offset)| Record { offset, data: data.clone() }).collect();
        let next = records.last().map_or(from.min(self.end()), |it| it.offset + 1);
        Ok(Page { first: self.first, next, records })
    }
}

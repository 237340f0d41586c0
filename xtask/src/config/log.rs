//! The platform's log on a virtual clock, with faults.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use document::{Offset, publication, snapshot};
use fastrand::Rng;
use platform::{Error, Log, Page, Record, Result};

/// The faults that are currently active.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// All calls fail, but a record that is sent now may be appended later.
    pub(crate) is_down: bool,
    /// Duration of each call.
    pub(crate) latency: Duration,
    /// Percentage of appends whose answer is lost.
    pub(crate) lost_answer_percent: u8,
    /// Percentage of appends that are stored twice.
    pub(crate) duplicated_percent: u8,
}

impl Default for Faults {
    fn default() -> Self {
        let latency = Duration::from_millis(5);
        Self { is_down: false, latency, lost_answer_percent: 0, duplicated_percent: 0 }
    }
}

/// The platform's log on a virtual clock.
pub(crate) struct VirtualLog {
    state: Mutex<State>,
}

struct State {
    faults: Faults,
    now: Duration,
    rng: Rng,
    retention: Duration,
    publications: Stream,
    snapshots: Stream,
    /// Records that are appended later, with the time at which this happens.
    delayed: Vec<(Duration, String, Bytes)>,
}

#[derive(Default)]
struct Stream {
    first: Offset,
    records: VecDeque<(Duration, Bytes)>,
}

impl VirtualLog {
    pub(crate) fn new(retention: Duration, rng: Rng) -> Self {
        let state = State {
            faults: Faults::default(),
            now: Duration::ZERO,
            rng,
            retention,
            publications: Stream::default(),
            snapshots: Stream::default(),
            delayed: Vec::new(),
        };
        Self { state: Mutex::new(state) }
    }

    /// Advances the log's clock, and appends delayed records if the log is up.
    pub(crate) fn advance(&self, now: Duration) {
        let mut state = self.lock();
        state.now = now;
        state.append_delayed();
    }

    pub(crate) fn faults(&self) -> Faults {
        self.lock().faults
    }

    pub(crate) fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Appends a record regardless of faults.
    pub(crate) fn inject(&self, stream: &str, record: Bytes) {
        let mut state = self.lock();
        let now = state.now;
        state.stream(stream).push(record, now);
    }

    /// The last record of a stream.
    pub(crate) fn last(&self, stream: &str) -> Option<Bytes> {
        self.lock().stream(stream).records.back().map(|(_, record)| record.clone())
    }

    /// The publications from offset `from` on, with the time at which each was appended.
    pub(crate) fn publications_from(&self, from: Offset) -> Vec<(Offset, Duration, Bytes)> {
        let state = self.lock();
        let skip =
            usize::try_from(from.saturating_sub(state.publications.first)).unwrap_or(usize::MAX);
        let records = state.publications.records.iter().skip(skip).zip(from..);
        records.map(|((at, record), offset)| (offset, *at, record.clone())).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panicked while it held the lock")
    }
}

impl Log for VirtualLog {
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
        let Faults { is_down, lost_answer_percent, duplicated_percent, .. } = self.faults;
        // The percentage of appends that get no answer and take effect later.
        let is_delayed = self.rng.u8(..100) < if is_down { 33 } else { lost_answer_percent / 2 };
        if is_delayed {
            let at = self.now + Duration::from_millis(self.rng.u64(1..20_000));
            self.delayed.push((at, stream.to_owned(), record.clone()));
            return Err(Error::Unknown("on its way".to_owned()));
        }
        if is_down && self.rng.bool() {
            return Err(Error::Refused("down".to_owned()));
        }
        if is_down {
            return Err(Error::Unknown("down".to_owned()));
        }
        let is_duplicated = self.rng.u8(..100) < duplicated_percent;
        let is_answer_lost = self.rng.u8(..100) < lost_answer_percent;
        let now = self.now;
        let target = self.stream(stream);
        let offset = target.push(record.clone(), now);
        if is_duplicated {
            target.push(record.clone(), now);
        }
        if is_answer_lost { Err(Error::Unknown("answer lost".to_owned())) } else { Ok(offset) }
    }

    /// Appends the delayed records that are due, if the log is up.
    fn append_delayed(&mut self) {
        if self.faults.is_down {
            return;
        }
        let now = self.now;
        for (at, stream, record) in std::mem::take(&mut self.delayed) {
            if at <= now {
                self.stream(&stream).push(record, now);
            } else {
                self.delayed.push((at, stream, record));
            }
        }
    }

    fn stream(&mut self, name: &str) -> &mut Stream {
        match name {
            publication::STREAM => &mut self.publications,
            snapshot::STREAM => &mut self.snapshots,
            other => panic!("unknown stream {other}"),
        }
    }
}

impl Stream {
    fn end(&self) -> Offset {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, record: Bytes, now: Duration) -> Offset {
        self.records.push_back((now, record));
        self.end() - 1
    }

    fn expire(&mut self, retention: Duration, now: Duration) {
        while self.records.front().is_some_and(|(at, _)| *at + retention < now) {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn page(&self, from: Offset, limit: usize) -> Result<Page> {
        if from < self.first {
            return Err(Error::Gone { first: self.first });
        }
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let found = self.records.iter().skip(skip).take(limit).zip(from..);
        let records: Vec<_> =
            found.map(|((_, data), offset)| Record { offset, data: data.clone() }).collect();
        let next = records.last().map_or(from.min(self.end()), |it| it.offset + 1);
        Ok(Page { first: self.first, next, records })
    }
}

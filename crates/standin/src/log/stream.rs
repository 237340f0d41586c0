//! One stream of the log.

use std::{collections::VecDeque, time::Instant};

use bytes::Bytes;
use platform::{Offset, wire};

use super::settings::Retention;

/// One stream of the log.
#[derive(Debug, Default)]
pub(super) struct Stream {
    first: Offset,
    records: VecDeque<(Instant, Bytes)>,
}

impl Stream {
    /// Oldest offset retained.
    pub(super) fn first(&self) -> Offset {
        self.first
    }

    /// Appends a record and drops the records whose retention has expired.
    pub(super) fn append(&mut self, record: Bytes, retention: Retention, now: Instant) -> Offset {
        let offset = self.end();
        self.records.push_back((now, record));
        self.expire(retention, now);
        offset
    }

    /// Drops the records whose retention has expired.
    pub(super) fn expire(&mut self, retention: Retention, now: Instant) {
        while self.records.len() > retention.count
            || self.records.front().is_some_and(|(at, _)| now.duration_since(*at) > retention.age)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }

    /// Drops the records before `first`.
    pub(super) fn truncate(&mut self, first: Offset) {
        while self.first < first && self.records.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Content of the retained records, oldest first.
    pub(super) fn records(&self) -> Vec<Bytes> {
        self.records.iter().map(|(_, data)| data.clone()).collect()
    }

    /// At most `limit` records from offset `from` on, which must not be below the oldest retained offset.
    pub(super) fn page(&self, from: Offset, limit: usize) -> wire::Page {
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let records: Vec<_> = (from..)
            .zip(self.records.iter().skip(skip).take(limit))
            .map(|(offset, (_, data))| platform::Record { offset, data: data.clone() })
            .map(|it| wire::Record::from(&it))
            .collect();
        let next = records.last().map_or(from.min(self.end()), |it| it.offset + 1);
        wire::Page { first: self.first, next, records }
    }

    fn end(&self) -> Offset {
        self.first + self.records.len() as u64
    }
}

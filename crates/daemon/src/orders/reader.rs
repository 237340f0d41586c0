//! Reads the streams that the engine follows.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, RecvTimeoutError},
    },
    time::Duration,
};

use order::{Event, Offset, Stream};
use platform::{Error, Log, Page};

use crate::{
    orders::{
        Driver,
        journal::{Streams, Wakeup},
    },
    state::lock,
};

/// Interval at which all streams are read; the daemon's own appends are read at once.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of records in a page.
const PAGE_LIMIT: usize = 500;

/// Reads the streams that the engine follows.
pub(super) struct Reader {
    driver: Arc<Driver>,
    log: Box<dyn Log>,
    streams: Streams,
    wakeups: Receiver<Wakeup>,
    is_up: bool,
}

impl Reader {
    pub(super) fn new(
        driver: Arc<Driver>,
        log: Box<dyn Log>,
        streams: Streams,
        wakeups: Receiver<Wakeup>,
    ) -> Self {
        Self { driver, log, streams, wakeups, is_up: false }
    }

    /// Reads until `stop` is set.
    pub(super) fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            match self.wakeups.recv_timeout(POLL_INTERVAL) {
                Ok(it) => self.read(it, stop),
                Err(RecvTimeoutError::Timeout) => self.read_all(stop),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn read_all(&mut self, stop: &AtomicBool) {
        let followed: Vec<Stream> = lock(&self.streams).keys().copied().collect();
        for it in followed {
            self.read(Wakeup { stream: it, end: 0 }, stop);
        }
    }

    /// Reads a stream to its end, or until the offset reaches the end given in `wakeup`.
    fn read(&mut self, wakeup: Wakeup, stop: &AtomicBool) {
        let Wakeup { stream, end } = wakeup;
        while !stop.load(Ordering::Relaxed) {
            let Some(from) = lock(&self.streams).get(&stream).copied() else { return };
            if end > 0 && from >= end {
                return;
            }
            match self.log.read(&stream.to_string(), from, PAGE_LIMIT) {
                Ok(page) if page.records.is_empty() => return self.set_log_up(true),
                Ok(page) => {
                    self.set_log_up(true);
                    self.deliver(stream, from, page);
                }
                Err(Error::Gone { first }) => {
                    self.set_log_up(true);
                    self.driver.handle(Event::Trimmed { stream, first });
                    self.advance(stream, from, first);
                }
                Err(e) => {
                    log::debug!("read of stream {stream} failed: {e}");
                    return self.set_log_up(false);
                }
            }
        }
    }

    fn deliver(&self, stream: Stream, mut from: Offset, page: Page) {
        for it in page.records {
            // The engine may have unfollowed the stream or restarted it at another offset.
            if !self.advance(stream, from, it.offset + 1) {
                return;
            }
            from = it.offset + 1;
            self.driver.handle(Event::Read { stream, offset: it.offset, record: it.data });
        }
    }

    /// Advances the offset of a stream from `from` to `to`; `false` if it has changed since the
    /// read.
    fn advance(&self, stream: Stream, from: Offset, to: Offset) -> bool {
        let mut streams = lock(&self.streams);
        match streams.get_mut(&stream) {
            Some(it) if *it == from => {
                *it = to;
                true
            }
            _ => false,
        }
    }

    /// Reports to the engine whether the log answers, if that has changed.
    fn set_log_up(&mut self, up: bool) {
        if self.is_up == up && up == self.driver.is_log_up() {
            return;
        }
        self.is_up = up;
        log::info!("log of orders reachable: {up}");
        self.driver.handle(Event::Log { up });
    }
}

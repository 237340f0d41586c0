//! Appends of order records to the log, and the list of streams to read.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, mpsc},
};

use bytes::Bytes;
use order::{Batch, Event, Failure, Offset, Stream};
use platform::{Error, Log};
use tokio::runtime::Handle;

use crate::{orders::Driver, state::lock};

/// Streams to read, each with the next offset.
pub(super) type Streams = Arc<Mutex<BTreeMap<Stream, Offset>>>;

/// Appends order records to the log and holds the list of streams to read.
pub(super) struct Journal {
    log: Arc<dyn Log>,
    runtime: Handle,
    streams: Streams,
    wakeups: mpsc::Sender<Wakeup>,
}

/// A request to read a stream at once.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wakeup {
    pub(super) stream: Stream,
    /// Offset up to which the stream is known to have records; 0 if none is known.
    pub(super) end: Offset,
}

impl Journal {
    /// Creates a journal and the receiver of its wakeups.
    pub(super) fn new(log: Arc<dyn Log>, runtime: Handle) -> (Self, mpsc::Receiver<Wakeup>) {
        let (wakeups, receiver) = mpsc::channel();
        (Self { log, runtime, streams: Streams::default(), wakeups }, receiver)
    }

    pub(super) fn streams(&self) -> Streams {
        Arc::clone(&self.streams)
    }

    pub(super) fn follow(&self, stream: Stream, from: Offset) {
        lock(&self.streams).insert(stream, from);
        self.wake(Wakeup { stream, end: 0 });
    }

    pub(super) fn unfollow(&self, stream: Stream) {
        lock(&self.streams).remove(&stream);
    }

    /// Appends a record once, on a blocking thread, and reports the result to the driver.
    pub(super) fn append(&self, driver: Arc<Driver>, batch: Batch, stream: Stream, record: Bytes) {
        let log = Arc::clone(&self.log);
        self.runtime.spawn_blocking(move || {
            let mut end = 0;
            let event = match log.append(&stream.to_string(), &record) {
                Ok(offset) => {
                    end = offset + 1;
                    Event::Appended(batch)
                }
                Err(Error::Refused(e)) => {
                    log::warn!("append to {stream} refused: {e}");
                    Event::AppendFailed(batch, Failure::Refused)
                }
                Err(e) => {
                    log::warn!("append to {stream} failed: {e}");
                    Event::AppendFailed(batch, Failure::Unknown)
                }
            };
            driver.handle(event);
            driver.wake_reader(Wakeup { stream, end });
        });
    }

    /// Wakes the reader to read a stream at once; does nothing after the reader has ended.
    pub(super) fn wake(&self, wakeup: Wakeup) {
        let _ended = self.wakeups.send(wakeup);
    }
}

//! A stand-in for the platform's append-only log.

mod faults;
mod settings;
mod stream;

use std::{
    collections::BTreeMap,
    io::{self, Read},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::Instant,
};

use bytes::Bytes;
use platform::{Offset, wire};
use tiny_http::{Method, Request};

pub use faults::Faults;
pub use settings::{Retention, Settings};
use stream::Stream;

use crate::server::{Server, respond, respond_empty};

/// A running log; it stops when it is dropped, and its records are lost.
pub struct Log {
    server: Server,
    state: Arc<Mutex<State>>,
}

struct State {
    settings: Settings,
    faults: Faults,
    streams: BTreeMap<String, Stream>,
    appends: u64,
    reads: u64,
}

impl Log {
    /// Starts a log.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if no port is available.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            settings,
            faults: Faults::default(),
            streams: BTreeMap::new(),
            appends: 0,
            reads: 0,
        }));
        let shared = Arc::clone(&state);
        let server = Server::start(move |req| serve(&shared, req))?;
        Ok(Self { server, state })
    }

    /// Address at which the log listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults.
    ///
    /// # Panics
    ///
    /// Panics if a thread of the log panicked.
    pub fn update(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Appends a record directly, without applying faults, and returns its offset.
    ///
    /// # Panics
    ///
    /// Panics if a thread of the log panicked.
    #[must_use]
    pub fn inject(&self, stream: &str, record: Bytes) -> Offset {
        let mut state = lock(&self.state);
        let retention = state.settings.retention;
        state.streams.entry(stream.to_owned()).or_default().append(
            record,
            retention,
            Instant::now(),
        )
    }

    /// Records currently retained in the stream, oldest first.
    ///
    /// # Panics
    ///
    /// Panics if a thread of the log panicked.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Bytes> {
        lock(&self.state).streams.get(stream).map(Stream::records).unwrap_or_default()
    }

    /// Drops all records before `first`, as if their retention had expired.
    ///
    /// # Panics
    ///
    /// Panics if a thread of the log panicked.
    pub fn truncate(&self, stream: &str, first: Offset) {
        if let Some(it) = lock(&self.state).streams.get_mut(stream) {
            it.truncate(first);
        }
    }

    /// Number of append requests received, including refused ones.
    ///
    /// # Panics
    ///
    /// Panics if a thread of the log panicked.
    #[must_use]
    pub fn appends(&self) -> u64 {
        lock(&self.state).appends
    }

    /// Number of read requests received, including refused ones.
    ///
    /// # Panics
    ///
    /// Panics if a thread of the log panicked.
    #[must_use]
    pub fn reads(&self) -> u64 {
        lock(&self.state).reads
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("log state")
}

fn serve(state: &Mutex<State>, req: Request) {
    let faults = lock(state).faults.clone();
    thread::sleep(faults.delay);
    if faults.silent {
        drop(req.into_writer());
        return;
    }
    let url = req.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let Some(stream) = path.strip_prefix("/streams/").filter(|it| !it.is_empty()) else {
        return respond_empty(req, 404);
    };
    match req.method() {
        Method::Post => append(state, stream, req),
        Method::Get => read(state, stream, query, req),
        _ => respond_empty(req, 405),
    }
}

fn append(state: &Mutex<State>, stream: &str, mut req: Request) {
    lock(state).appends += 1;
    let mut body = Vec::new();
    let limit = lock(state).settings.record_limit_bytes;
    let read = req.as_reader().take(limit + 1).read_to_end(&mut body);
    let size = body.len() as u64;
    if read.is_err() || req.body_length().is_some_and(|it| it as u64 != size) && size <= limit {
        return respond_empty(req, 400);
    }
    if size > limit {
        return respond_empty(req, 413);
    }

    let mut guard = lock(state);
    if guard.faults.down {
        drop(guard);
        return respond_empty(req, 503);
    }
    let record = Bytes::from(body);
    let retention = guard.settings.retention;
    let now = Instant::now();
    let target = guard.streams.entry(stream.to_owned()).or_default();
    let offset = target.append(record.clone(), retention, now);
    if guard.faults.take_duplicate() {
        guard.streams.entry(stream.to_owned()).or_default().append(record, retention, now);
    }
    let lost = guard.faults.take_lost_answer();
    drop(guard);

    if lost {
        drop(req.into_writer());
        return;
    }
    respond(req, 200, &wire::Appended { offset });
}

fn read(state: &Mutex<State>, stream: &str, query: &str, req: Request) {
    let mut guard = lock(state);
    guard.reads += 1;
    if guard.faults.down {
        drop(guard);
        return respond_empty(req, 503);
    }
    let (Some(from), Some(limit)) = (parameter(query, "from"), parameter(query, "limit")) else {
        drop(guard);
        return respond_empty(req, 400);
    };
    let retention = guard.settings.retention;
    let page_limit = guard.settings.page_limit;
    let limit = usize::try_from(limit).unwrap_or(usize::MAX).min(page_limit);
    let target = guard.streams.entry(stream.to_owned()).or_default();
    target.expire(retention, Instant::now());
    let first = target.first();
    let page = (from >= first).then(|| target.page(from, limit));
    drop(guard);

    match page {
        None => respond(req, 410, &wire::Gone { first }),
        Some(page) => respond(req, 200, &page),
    }
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|it| it.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

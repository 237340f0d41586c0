//! A stand-in for the platform's host list, which can return outdated lists.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use platform::{Entry, State, wire};
use tiny_http::Request;

use crate::server::{Server, respond, respond_empty};

/// A running host list; it stops when it is dropped.
pub struct Hosts {
    server: Server,
    state: Arc<Mutex<Listing>>,
}

/// Faults of the host list; the default is none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Every request is answered with status 503.
    pub down: bool,
    /// Delay before every request is handled.
    pub delay: Duration,
    /// Age of the list that is returned.
    pub lag: Duration,
}

#[derive(Debug, Default)]
struct Listing {
    faults: Faults,
    /// All lists so far, oldest first. They are few, so that outdated ones aren't dropped.
    history: Vec<(Instant, Vec<Entry>)>,
    reads: u64,
}

impl Hosts {
    /// Starts an empty host list.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if no port is available.
    pub fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(Listing::default()));
        let shared = Arc::clone(&state);
        let server = Server::start(move |req| serve(&shared, req))?;
        Ok(Self { server, state })
    }

    /// Address at which the list is served.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults.
    ///
    /// # Panics
    ///
    /// Panics if a thread of the list panicked.
    pub fn update(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Adds a host or changes its state, visible after the lag.
    ///
    /// # Panics
    ///
    /// Panics if a thread of the list panicked.
    pub fn set(&self, address: SocketAddr, state: State) {
        self.change(|entries| {
            entries.retain(|it| it.address != address);
            entries.push(Entry { address, state });
        });
    }

    /// Removes a host from the list, visible after the lag.
    ///
    /// # Panics
    ///
    /// Panics if a thread of the list panicked.
    pub fn remove(&self, address: SocketAddr) {
        self.change(|entries| entries.retain(|it| it.address != address));
    }

    /// Number of requests received.
    ///
    /// # Panics
    ///
    /// Panics if a thread of the list panicked.
    #[must_use]
    pub fn reads(&self) -> u64 {
        lock(&self.state).reads
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Entry>)) {
        let mut listing = lock(&self.state);
        let mut entries = listing.history.last().map(|(_, it)| it.clone()).unwrap_or_default();
        change(&mut entries);
        entries.sort();
        listing.history.push((Instant::now(), entries));
    }
}

impl Listing {
    fn visible_entries(&self, now: Instant) -> Vec<Entry> {
        self.history
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= self.faults.lag)
            .map(|(_, it)| it.clone())
            .unwrap_or_default()
    }
}

fn lock(state: &Mutex<Listing>) -> MutexGuard<'_, Listing> {
    state.lock().expect("host list state")
}

fn serve(state: &Mutex<Listing>, req: Request) {
    let faults = {
        let mut listing = lock(state);
        listing.reads += 1;
        listing.faults.clone()
    };
    thread::sleep(faults.delay);
    if faults.down {
        return respond_empty(req, 503);
    }
    if req.url() != "/hosts" {
        return respond_empty(req, 404);
    }
    let hosts = lock(state).visible_entries(Instant::now());
    respond(req, 200, &wire::Hosts { hosts });
}

//! A daemon process with little memory, and connections of clients that don't keep to the limits.

use std::{
    fs,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use platform_standin::{
    Store, Upstream,
    config::{self, Route},
};

use crate::host::{Addresses, Process};

/// Memory of the daemon's settings, in MB.
const MEMORY_MB: u64 = 64;
/// Share of the memory that may be resident, as 4 in 5.
const RESIDENT: (u64, u64) = (4, 5);
/// Descriptors of the daemon's settings.
pub(crate) const DESCRIPTORS: usize = 256;
/// Connections of a crowd.
pub(crate) const CROWD: usize = 40;
/// Largest body of the configuration, in bytes: the whole crowd's bodies exceed the memory.
pub(crate) const BODY_BYTES: usize = 4 << 20;
/// Largest head of the configuration, in bytes.
const MAX_HEAD_BYTES: u64 = 16_384;
/// Time for which a crowd is watched after it has sent what it sends.
const WATCH_TIME: Duration = Duration::from_secs(2);
/// Longest time until an ordinary request is answered. Refusals may be repeated.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);
/// Time-out of single reads and writes of the crowd.
const IO_TIMEOUT: Duration = Duration::from_secs(5);

/// Held while a crowd runs: the figures of one must not be moved by another.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A daemon process with a store and an upstream.
pub(crate) struct Setup {
    callers: SocketAddr,
    process: Process,
    _store: Store,
    _upstream: Upstream,
    _turn: MutexGuard<'static, ()>,
}

impl Setup {
    /// Starts a daemon and waits until it answers requests.
    pub(crate) fn start(name: &str) -> Self {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let store = Store::start();
        let upstream = Upstream::start("u");
        store.put(config::UPSTREAMS, "u", &upstream.entry("stock", "ready"));
        store.put(config::TOPIC, config::KEY, &configuration());
        let addresses = Addresses::unused();
        let limits = format!("memory_mb = {MEMORY_MB}\ndescriptor_limit = {DESCRIPTORS}\n");
        let process = Process::start_with(name, &addresses.settings("h", &store, &limits));
        let callers = addresses.callers;
        let mut res = Self { callers, process, _store: store, _upstream: upstream, _turn: turn };
        res.await_answer();
        res
    }

    /// Opens a connection of the crowd.
    pub(crate) fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.callers, IO_TIMEOUT)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        Ok(stream)
    }

    /// Runs `client` on [`CROWD`] connections at the same time and keeps those open that it returns
    /// while the daemon is checked.
    pub(crate) fn check(self, client: impl Fn(TcpStream) -> io::Result<TcpStream> + Sync) {
        self.check_crowd(CROWD, client);
    }

    /// As [`Self::check`], on `count` connections.
    pub(crate) fn check_crowd(
        mut self,
        count: usize,
        client: impl Fn(TcpStream) -> io::Result<TcpStream> + Sync,
    ) {
        let open: Vec<_> = thread::scope(|scope| {
            // The daemon may refuse or close any connection of the crowd.
            let clients: Vec<_> =
                (0..count).map(|_| scope.spawn(|| self.connect().and_then(&client).ok())).collect();
            clients.into_iter().filter_map(|it| it.join().expect("a client")).collect()
        });
        let until = Instant::now() + WATCH_TIME;
        let mut descriptors = 0;
        while Instant::now() < until {
            descriptors = descriptors.max(self.descriptors());
            thread::sleep(Duration::from_millis(20));
        }
        self.process.assert_alive();
        self.await_answer();
        drop(open);
        self.await_answer();
        let peak = self.peak_kb();
        println!("peak {peak} kB of {MEMORY_MB} MB, {descriptors} descriptors");
        assert!(peak <= (MEMORY_MB << 10) * RESIDENT.0 / RESIDENT.1, "{peak} kB resident");
        assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors");
    }

    /// Sends ordinary requests until one is answered with 200.
    fn await_answer(&mut self) {
        let until = Instant::now() + ANSWER_TIMEOUT;
        while !self.request().is_ok_and(|it| it.starts_with("HTTP/1.1 200 ")) {
            self.process.assert_alive();
            assert!(Instant::now() < until, "no ordinary request is answered");
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn request(&self) -> io::Result<String> {
        let mut stream = self.connect()?;
        stream.write_all(config::request("GET", "/read/1", "ordinary", true).as_bytes())?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    }

    /// Largest resident memory so far, in kB.
    fn peak_kb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let text = text.expect("the process's status");
        let line = text.lines().find_map(|it| it.strip_prefix("VmHWM:")).expect("a peak");
        line.trim().trim_end_matches("kB").trim().parse().expect("a number")
    }

    fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.process.id())).map_or(0, Iterator::count)
    }
}

/// Head of a request whose body follows; `framing` is a header line.
pub(crate) fn head(framing: &str) -> String {
    format!("POST /order/1 HTTP/1.1\r\nHost: {}\r\n{framing}\r\n\r\n", config::HOST)
}

/// A request that is answered with `bytes` bytes.
pub(crate) fn read(bytes: usize) -> String {
    config::request("GET", &format!("/read/1?bytes={bytes}"), "crowd", false)
}

fn configuration() -> String {
    let route = |name, prefix, is_idempotent| Route { name, prefix, is_idempotent };
    let routes = [route("read", "/read/", true), route("order", "/order/", false)];
    config::text_with_limits(3, &routes, (MAX_HEAD_BYTES, BODY_BYTES as u64))
}

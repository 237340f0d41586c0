//! The daemons under test, and the simulated store, upstreams and callers.

use std::{
    cell::RefCell,
    fs,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use platform_standin::{
    Proxy, Store, Upstream,
    config::{self, Route},
    proxy,
};
use rustix::process::Signal;

use crate::{
    Error, Options, Report, Result,
    caller::{self, Context},
    daemon::{self, Daemon, Ports},
    ledger::Ledger,
    probe,
    publications::Publications,
    stop_caller, watcher,
};

/// Number of upstreams. All belong to one service.
const UPSTREAMS: usize = 5;
/// The upstream that is replaced by another process at times.
pub(crate) const REPLACED: usize = 1;
/// The upstreams in the failure domain `b`, which is evacuated at times; the others are in `a`.
pub(crate) const UPSTREAMS_IN_B: std::ops::Range<usize> = 3..UPSTREAMS;
/// Key of the record that evacuates the domain `b`.
const EVACUATION_KEY: &str = "evacuate/b";
/// Number of upstreams if the daemons are only stopped: enough for the work of all callers.
const UPSTREAMS_FOR_STOPS: usize = 40;
/// Timeout of the routes.
const TIME_LIMIT: Duration = Duration::from_secs(3);
/// Timeout of the routes if the daemons are only stopped: longer than a request that arrives during a
/// stop of the longest grace period can be sure of.
const LONG_TIME_LIMIT: Duration = Duration::from_secs(8);
/// Time within which the daemons must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for upstreams to finish the requests that are in flight at the end of a run.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The daemons under test, and the simulated store, upstreams and callers.
pub(crate) struct Environment {
    pub(crate) store: Store,
    /// The way of each daemon to the store.
    pub(crate) store_links: RefCell<Vec<Proxy>>,
    pub(crate) upstreams: Vec<(Upstream, Proxy)>,
    /// Another process of [`REPLACED`], which registers at times under the same id.
    pub(crate) replacement: Upstream,
    pub(crate) daemons: RefCell<Vec<Daemon>>,
    pub(crate) context: Arc<Context>,
    threads: RefCell<Vec<JoinHandle<()>>>,
    /// Limit on the size of a body, in bytes, if it differs from that of [`probe::limits`].
    max_body_bytes: Option<u64>,
}

impl Environment {
    pub(crate) fn start(options: &Options) -> Result<Self> {
        // An error usually means that there was no earlier run.
        drop(fs::remove_dir_all(&options.folder));
        fs::create_dir_all(&options.folder)?;
        let store = Store::start();
        let store_links: Vec<_> =
            (0..options.daemons).map(|_| Proxy::start(store.address)).collect();
        let mut upstreams = Vec::new();
        let count = if options.only_stops { UPSTREAMS_FOR_STOPS } else { UPSTREAMS };
        for number in 0..count {
            let upstream = Upstream::start(&format!("upstream-{number}"));
            let proxy = Proxy::start(upstream.address);
            upstreams.push((upstream, proxy));
        }
        let ports = Ports::next();
        let mut daemons = Vec::new();
        for (number, link) in (0..options.daemons).zip(&store_links) {
            let mut daemon = Daemon::new(options, number, ports, link.address)?;
            daemon.start()?;
            daemons.push(daemon);
        }
        let context = Arc::new(Context {
            seed: options.seed,
            addresses: daemons.iter().map(|it| it.caller_address).collect(),
            ledger: Arc::new(Ledger::new(options.seed)),
            stop: AtomicBool::new(false),
            is_fault_free: AtomicBool::new(false),
            fault_free_requests: AtomicU64::new(0),
            grace: options.grace,
            time_limit: if options.only_stops { LONG_TIME_LIMIT } else { TIME_LIMIT },
            stopping: daemons.iter().map(|_| Mutex::default()).collect(),
            starts: daemons.iter().map(|it| Arc::clone(&it.starts)).collect(),
            publications: Publications::default(),
            probes: AtomicUsize::new(0),
        });
        let res = Self {
            store,
            store_links: RefCell::new(store_links),
            replacement: upstreams[REPLACED].0.start_beside(),
            upstreams,
            daemons: RefCell::new(daemons),
            context,
            threads: RefCell::default(),
            max_body_bytes: options.only_stops.then_some(stop_caller::UPLOAD_BYTES as u64),
        };
        (0..count).for_each(|it| res.register(it, "ready"));
        res.publish();
        if !res.wait_ready() {
            return Err(Error::NotReady);
        }
        let mut threads = res.threads.borrow_mut();
        for number in 0..options.callers as u64 {
            let context = Arc::clone(&res.context);
            let run = if options.only_stops { stop_caller::run } else { caller::run };
            threads.push(thread::spawn(move || run(&context, number)));
        }
        let watched = if options.only_stops { 0 } else { options.daemons };
        for daemon in 0..usize::from(watched) {
            let context = Arc::clone(&res.context);
            threads.push(thread::spawn(move || watcher::run(&context, daemon)));
            let context = Arc::clone(&res.context);
            threads.push(thread::spawn(move || probe::run(&context, daemon)));
        }
        drop(threads);
        Ok(res)
    }

    /// Registers an upstream with its proxy's address.
    pub(crate) fn register(&self, number: usize, state: &str) {
        self.write_entry(number, &self.entry(number, state));
    }

    /// Builds the next entry of an upstream, with its proxy's address.
    pub(crate) fn entry(&self, number: usize, state: &str) -> String {
        let (upstream, proxy) = &self.upstreams[number];
        upstream.entry_at_in(proxy.address, domain(number), "stock", state)
    }

    /// Builds the next entry of an upstream with another address.
    pub(crate) fn entry_at(&self, number: usize, address: SocketAddr) -> String {
        self.upstreams[number].0.entry_at_in(address, domain(number), "stock", "ready")
    }

    /// Writes an entry of an upstream to the store.
    pub(crate) fn write_entry(&self, number: usize, entry: &str) {
        self.store.put(config::UPSTREAMS, &self.upstreams[number].0.id, entry);
    }

    /// Registers an upstream with the address of another one, as if the address had been reused.
    pub(crate) fn register_reused_address(&self, number: usize) {
        let other = &self.upstreams[(number + 1) % self.upstreams.len()].1;
        self.write_entry(number, &self.entry_at(number, other.address));
    }

    /// Removes the registration of an upstream that keeps running.
    pub(crate) fn deregister(&self, number: usize) {
        self.store.remove(config::UPSTREAMS, &self.upstreams[number].0.id);
    }

    /// Registers the replacement as a new start of [`REPLACED`].
    pub(crate) fn register_replacement(&self) {
        self.replacement.restart();
        let it = &self.replacement;
        self.write_entry(REPLACED, &it.entry_in(domain(REPLACED), "stock", "ready"));
    }

    /// Gives a daemon another way to the store, and closes the former one.
    pub(crate) fn move_store(&self, daemon: usize) -> Result<()> {
        let link = Proxy::start(self.store.address);
        let address = link.address.to_string();
        let former = std::mem::replace(&mut self.store_links.borrow_mut()[daemon], link);
        former.set_fault(proxy::Fault::Close);
        let change = |it: &str| daemon::with_setting(it, "store_address", &address);
        Ok(self.daemons.borrow()[daemon].change_settings(change)?)
    }

    /// Evacuates the failure domain `b`.
    pub(crate) fn evacuate(&self) {
        self.store.put(config::TOPIC, EVACUATION_KEY, "{}");
    }

    /// Takes the failure domain `b` back.
    pub(crate) fn take_back(&self) {
        self.store.remove(config::TOPIC, EVACUATION_KEY);
    }

    /// Publishes the next configuration. It has the routes of the one before, but for the route that
    /// only that one has, two new routes and higher limits.
    pub(crate) fn publish(&self) {
        let version = self.context.publications.newest() + 1;
        let own = config::own_path(version);
        let since: Vec<_> = (1..=version).map(config::since_path).collect();
        let mut routes = vec![
            Route { name: "read", prefix: "/read/", is_idempotent: true },
            Route { name: "order", prefix: "/order/", is_idempotent: false },
            Route { name: "own", prefix: &own, is_idempotent: true },
        ];
        routes.extend(since.iter().map(|it| Route { name: it, prefix: it, is_idempotent: true }));
        let (max_head_bytes, max_body_bytes) = probe::limits(version);
        let limits = (max_head_bytes, self.max_body_bytes.unwrap_or(max_body_bytes));
        let text = config::text_with_limits(version, &routes, limits);
        let text = config::with_timeout(&text, self.context.time_limit.as_millis());
        self.store.put(config::TOPIC, config::KEY, &text);
        self.context.publications.record();
    }

    /// Path of the route that only the newest configuration has.
    pub(crate) fn newest_path(&self) -> String {
        config::own_path(self.context.publications.newest())
    }

    /// Waits until every daemon is ready. Returns false if this takes longer than 30 s.
    pub(crate) fn wait_ready(&self) -> bool {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if self.daemons.borrow().iter().all(Daemon::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Lets a paused daemon run again. Requests are sent to it before, so that they wait for it.
    pub(crate) fn resume(&self, daemon: usize) -> Result<()> {
        let probes = probe::send_while_paused(&self.context, daemon);
        self.daemons.borrow()[daemon].signal(Signal::CONT)?;
        let context = Arc::clone(&self.context);
        let check = move || probes.into_iter().for_each(|it| it.check(&context));
        self.threads.borrow_mut().push(thread::spawn(check));
        Ok(())
    }

    /// Stops callers and watchers and returns the report.
    pub(crate) fn finish(&self) -> Report {
        self.context.stop.store(true, Ordering::Relaxed);
        for it in self.threads.borrow_mut().drain(..) {
            if it.join().is_err() {
                self.context.ledger.add_finding("a caller or watcher panicked".to_owned());
            }
        }
        thread::sleep(SETTLE_TIME);
        let upstreams: Vec<_> =
            self.upstreams.iter().map(|(it, _)| it).chain([&self.replacement]).collect();
        self.context.ledger.close(&upstreams)
    }
}

/// Failure domain of an upstream.
fn domain(upstream: usize) -> &'static str {
    if UPSTREAMS_IN_B.contains(&upstream) { "b" } else { "a" }
}

//! The fleet and all that it speaks to.

use std::{
    cell::RefCell,
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use platform_standin::{
    Store, Upstream,
    config::{self, Route},
};

use crate::{
    Error, Options, Report, Result,
    caller::{self, Target},
    fleet::{self, Daemon},
    ledger::Ledger,
    proxy::Proxy,
    watcher,
};

/// Upstreams of the one service.
const UPSTREAMS: usize = 5;
/// How long daemons may take until they are ready.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Time after the end in which upstreams finish what they have begun.
const SETTLE: Duration = Duration::from_secs(2);

/// The fleet and all that it speaks to.
pub(crate) struct World {
    pub(crate) store: Store,
    pub(crate) store_proxy: Proxy,
    pub(crate) upstreams: Vec<(Upstream, Proxy)>,
    pub(crate) daemons: RefCell<Vec<Daemon>>,
    pub(crate) target: Arc<Target>,
    threads: RefCell<Vec<JoinHandle<()>>>,
}

impl World {
    pub(crate) fn start(options: &Options) -> Result<Self> {
        // The folder of an earlier run may be there.
        drop(fs::remove_dir_all(&options.folder));
        fs::create_dir_all(&options.folder)?;
        let store = Store::start();
        let store_proxy = Proxy::start(store.address)?;
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            let upstream = Upstream::start(&format!("upstream-{number}"));
            let proxy = Proxy::start(upstream.address)?;
            upstreams.push((upstream, proxy));
        }
        let port = fleet::shared_port(options.daemons)?;
        let mut daemons = Vec::new();
        for number in 0..options.daemons {
            let mut daemon = Daemon::new(options, number, port, store_proxy.address)?;
            daemon.start()?;
            daemons.push(daemon);
        }
        let target = Arc::new(Target {
            addresses: daemons.iter().map(|it| it.callers).collect(),
            ledger: Arc::new(Ledger::new(options.seed)),
            stop: AtomicBool::new(false),
            is_calm: AtomicBool::new(false),
            calm_requests: AtomicU64::new(0),
            starts: daemons.iter().map(|it| Arc::clone(&it.starts)).collect(),
            published: AtomicU64::new(0),
        });
        let res = Self {
            store,
            store_proxy,
            upstreams,
            daemons: RefCell::new(daemons),
            target,
            threads: RefCell::default(),
        };
        (0..UPSTREAMS).for_each(|it| res.register(it, "ready"));
        res.publish();
        if !res.wait_ready() {
            return Err(Error::NotReady);
        }
        let mut threads = res.threads.borrow_mut();
        for number in 0..options.callers as u64 {
            let target = Arc::clone(&res.target);
            threads.push(thread::spawn(move || caller::run(&target, number)));
        }
        for daemon in 0..usize::from(options.daemons) {
            let target = Arc::clone(&res.target);
            threads.push(thread::spawn(move || watcher::run(&target, daemon)));
        }
        drop(threads);
        Ok(res)
    }

    /// Writes what an upstream says of itself; daemons reach it through its proxy.
    pub(crate) fn register(&self, number: usize, state: &str) {
        let (upstream, proxy) = &self.upstreams[number];
        let entry = upstream.entry_at(proxy.address, "stock", state);
        self.store.put(config::UPSTREAMS, &upstream.id, &entry);
    }

    /// Writes that an upstream is reached at the address of another one, as if it had been reused.
    pub(crate) fn misplace(&self, number: usize) {
        let other = &self.upstreams[(number + 1) % self.upstreams.len()].1;
        let upstream = &self.upstreams[number].0;
        let entry = upstream.entry_at(other.address, "stock", "ready");
        self.store.put(config::UPSTREAMS, &upstream.id, &entry);
    }

    /// Removes the entry of an upstream that goes on.
    pub(crate) fn lapse(&self, number: usize) {
        self.store.remove(config::UPSTREAMS, &self.upstreams[number].0.id);
    }

    /// Publishes the next configuration: the routes that are always there, and one of its own.
    pub(crate) fn publish(&self) {
        let version = self.target.published.load(Ordering::Relaxed) + 1;
        let own = config::own_path(version);
        let routes = [
            Route { name: "read", prefix: "/read/", is_idempotent: true },
            Route { name: "order", prefix: "/order/", is_idempotent: false },
            Route { name: "own", prefix: &own, is_idempotent: true },
        ];
        self.store.put(config::TOPIC, config::KEY, &config::text(version, &routes));
        self.target.published.store(version, Ordering::Relaxed);
    }

    /// Path of the route that only the newest configuration has.
    pub(crate) fn newest_path(&self) -> String {
        config::own_path(self.target.published.load(Ordering::Relaxed))
    }

    /// Waits until every daemon is ready; false if that takes too long.
    pub(crate) fn wait_ready(&self) -> bool {
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            if self.daemons.borrow().iter().all(Daemon::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Stops the callers and checks what has run.
    pub(crate) fn finish(&self) -> Report {
        self.target.stop.store(true, Ordering::Relaxed);
        for it in self.threads.borrow_mut().drain(..) {
            if it.join().is_err() {
                self.target.ledger.find("a caller or watcher panicked".to_owned());
            }
        }
        thread::sleep(SETTLE);
        let upstreams: Vec<_> = self.upstreams.iter().map(|(it, _)| it).collect();
        self.target.ledger.close(&upstreams)
    }
}

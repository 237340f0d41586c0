//! Settings that change while a daemon runs take effect, or hold as they were.

use std::{
    io::{ErrorKind, Read, Write},
    net::TcpStream,
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use platform_standin::{
    Store, Upstream,
    config::{self, Route},
};
use rustix::process::Signal;
use soak::{Daemon, Options, Ports};

/// Time within which something must happen.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon that serves `/old/`.
struct Running {
    store: Store,
    upstream: Upstream,
    daemon: Daemon,
    folder: PathBuf,
    path: PathBuf,
}

impl Running {
    /// Starts a daemon on a loopback address of its own; `stop_paths` and other tests have other ones.
    fn start(number: u8) -> Self {
        let (store, upstream) = (Store::start(), Upstream::start("u"));
        register(&store, &upstream);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("settings-{number}"));
        // The log of an earlier run would be appended to.
        match std::fs::remove_dir_all(&folder) {
            Err(e) if e.kind() != ErrorKind::NotFound => panic!("{e}"),
            _ => std::fs::create_dir_all(&folder).unwrap(),
        }
        let options = Options {
            daemon: PathBuf::from(env!("CARGO_BIN_EXE_fireflydrumd")),
            folder: folder.clone(),
            daemons: 1,
            ..Options::default()
        };
        let ports = Ports::next();
        let mut daemon = Daemon::new(&options, number, ports, store.address).unwrap();
        daemon.start().unwrap();
        eventually("the daemon is ready", || daemon.is_ready());
        assert_eq!(status(&daemon, "/old/1"), "200");
        let path = folder.join(format!("daemon-{number}.ini"));
        Self { store, upstream, daemon, folder, path }
    }

    /// Replaces `old` in the settings, which the daemon then reads again.
    fn change(&self, old: &str, new: &str) {
        let text = std::fs::read_to_string(&self.path).unwrap();
        let changed = text.replace(old, new);
        assert_ne!(changed, text);
        std::fs::write(&self.path, changed).unwrap();
        self.daemon.signal(Signal::HUP).unwrap();
    }

    /// Value of a key in the settings.
    fn setting(&self, key: &str) -> String {
        let text = std::fs::read_to_string(&self.path).unwrap();
        let prefix = format!("{key} = ");
        text.lines().find_map(|it| it.strip_prefix(&prefix)).unwrap().to_owned()
    }
}

fn register(store: &Store, upstream: &Upstream) {
    store.put(config::UPSTREAMS, &upstream.id, &upstream.entry("stock", "ready"));
    publish(store, 1, "/old/");
}

fn publish(store: &Store, version: u64, prefix: &str) {
    let route = Route { name: "read", prefix, is_idempotent: true };
    store.put(config::TOPIC, config::KEY, &config::text(version, &[route]));
}

fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "{what}: not in time");
        thread::sleep(Duration::from_millis(20));
    }
}

fn exchange(address: &str, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

fn status(daemon: &Daemon, path: &str) -> String {
    let request = config::request("GET", path, "id", true);
    let text = exchange(&daemon.caller_address.to_string(), &request);
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// A daemon went on with the address of its start, and served a route that had been dropped
/// (`docs/incidents/moved_store.md`).
#[test]
fn moved_store() {
    let running = Running::start(90);
    let daemon = &running.daemon;
    let other = Store::start();
    register(&other, &running.upstream);
    running.change(&running.store.address.to_string(), &other.address.to_string());
    publish(&other, 2, "/new/");
    eventually("the new route is served", || status(daemon, "/new/1") == "200");
    assert_eq!(status(daemon, "/old/1"), "404");
}

/// A daemon whose settings named another address for callers told callers and peers to connect there,
/// where nothing listened (`docs/incidents/moved_store.md`).
#[test]
fn addresses_kept() {
    let running = Running::start(91);
    let daemon = &running.daemon;
    let (own, directory) =
        (running.setting("caller_address"), running.setting("directory_address"));
    let announced = || {
        exchange(
            &directory,
            &config::request("GET", "/fireflydrum/resolve?name=a.example", "id", true),
        )
    };
    assert!(announced().contains(&own), "{}", announced());
    running.change(&format!("caller_address = {own}"), "caller_address = 127.0.0.1:1");
    let log = running.folder.join("daemon-91.log");
    eventually("the settings are read", || {
        std::fs::read_to_string(&log).unwrap().contains("event=reload cause=signal changed=yes")
    });
    assert!(announced().contains(&own), "{}", announced());
    assert_eq!(status(daemon, "/old/1"), "200");
    let log = std::fs::read_to_string(&log).unwrap();
    assert!(log.contains("event=setting-needs-restart field=caller_address"), "{log}");
}

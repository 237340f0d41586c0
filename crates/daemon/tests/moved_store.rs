//! The store moves to another address, which changed settings name.

use std::{
    io::{Read, Write},
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
use soak::{Daemon, Options};

/// Loopback address of the daemon; `stop_paths` and other tests have other ones.
const NUMBER: u8 = 90;
/// Time within which something must happen.
const TIMEOUT: Duration = Duration::from_secs(20);

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

fn status(daemon: &Daemon, path: &str) -> String {
    let mut stream = TcpStream::connect(daemon.caller_address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(config::request("GET", path, "id", true).as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// A daemon went on with the address of its start, and served a route that had been dropped
/// (`docs/incidents/moved_store.md`).
#[test]
fn followed_after_signal() {
    let (first, second, upstream) = (Store::start(), Store::start(), Upstream::start("u"));
    for it in [&first, &second] {
        it.put(config::UPSTREAMS, &upstream.id, &upstream.entry("stock", "ready"));
        publish(it, 1, "/old/");
    }
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("moved-store");
    std::fs::create_dir_all(&folder).unwrap();
    let options = Options {
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_fireflydrumd")),
        folder: folder.clone(),
        daemons: 1,
        ..Options::default()
    };
    let peer_port = soak::shared_port(1).unwrap();
    let mut daemon = Daemon::new(&options, NUMBER, peer_port, first.address).unwrap();
    daemon.start().unwrap();
    eventually("the daemon is ready", || daemon.is_ready());
    assert_eq!(status(&daemon, "/old/1"), "200");
    let path = folder.join(format!("daemon-{NUMBER}.ini"));
    let text = std::fs::read_to_string(&path).unwrap();
    let moved = text.replace(&first.address.to_string(), &second.address.to_string());
    assert_ne!(moved, text);
    std::fs::write(&path, moved).unwrap();
    daemon.signal(Signal::HUP).unwrap();
    publish(&second, 2, "/new/");
    eventually("the new route is served", || status(&daemon, "/new/1") == "200");
    assert_eq!(status(&daemon, "/old/1"), "404");
}

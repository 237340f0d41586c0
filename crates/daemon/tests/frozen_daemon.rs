//! Daemons that don't run for a while and then find requests, datagrams and answers of the store
//! waiting, and one that ends while requests wait for a confirmation.

mod host;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use host::{Addresses, Process};
use platform_standin::{
    Store, Upstream,
    config::{self, Route},
    loopback,
    store::Fault,
};
use rustix::process::Signal;

/// Timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for applying a configuration in the settings.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Grace period in the settings.
const GRACE: Duration = Duration::from_secs(3);
/// Requests sent to a stopped daemon.
const REQUESTS: usize = 30;

/// Processes of a fleet, each with the address for its callers. They end with the test.
struct Fleet {
    daemons: Vec<(Process, SocketAddr)>,
    store: Store,
    _upstream: Upstream,
}

impl Fleet {
    /// Starts `count` daemons and waits until each answers requests.
    fn start(name: &str, count: u32) -> Self {
        let store = Store::start();
        let upstream = Upstream::start("u");
        store.put(config::UPSTREAMS, "u", &upstream.entry("stock", "ready"));
        store.put(config::TOPIC, config::KEY, &configuration(3));
        // All daemons of a fleet use one port for each other, on addresses of their own.
        let seed = loopback::address();
        let start = |number| {
            let ip = loopback::ip(number);
            let [callers, ready, directory, metrics] =
                [(); 4].map(|()| SocketAddr::from((ip, loopback::port())));
            let peers = SocketAddr::from((ip, seed.port()));
            let addresses = Addresses { callers, ready, directory, peers, metrics };
            let times = format!(
                "seeds = {seed}\nconfig_apply = {}ms\ngrace = {}ms\n",
                CONFIG_APPLY.as_millis(),
                GRACE.as_millis()
            );
            let text = addresses.settings(&format!("h{number}"), &store, &times);
            (Process::start_with(&format!("{name}-{number}"), &text), callers)
        };
        let daemons: Vec<_> = (0..count).map(start).collect();
        let res = Self { store, daemons, _upstream: upstream };
        for (_, callers) in &res.daemons {
            await_served(*callers, "/read/1");
        }
        res
    }

    /// Stops a daemon while the configuration `version` comes, and returns the statuses of requests
    /// for a route that only this configuration has. They are sent beyond the time limit for
    /// applying it, before the daemon runs again.
    fn deny_while_stopped(&self, number: usize, version: u64) -> Vec<u16> {
        self.daemons[number].0.signal(Signal::STOP);
        thread::sleep(Duration::from_secs(1));
        self.store.put(config::TOPIC, config::KEY, &configuration(version));
        thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
        let path = config::own_path(version);
        let streams: Vec<_> =
            (0..REQUESTS).map(|_| send(self.daemons[number].1, &path).unwrap()).collect();
        self.daemons[number].0.signal(Signal::CONT);
        streams.into_iter().map(status).collect()
    }
}

/// A configuration with a route that no other version has.
fn configuration(version: u64) -> String {
    let own = config::own_path(version);
    let route = |name, prefix| Route { name, prefix, is_idempotent: true };
    config::text(version, &[route("read", "/read/"), route("own", &own)])
}

fn send(callers: SocketAddr, path: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(callers)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(config::request("GET", path, "id-1", true).as_bytes())?;
    Ok(stream)
}

/// Status of the answer; 0 without one.
fn status(mut stream: TcpStream) -> u16 {
    let mut text = String::new();
    drop(stream.read_to_string(&mut text));
    text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or_default()
}

/// Sends requests until one is served. None may get a final refusal.
fn await_served(callers: SocketAddr, path: &str) {
    let until = Instant::now() + TIMEOUT;
    loop {
        match send(callers, path).map(status) {
            Ok(200) => return,
            Ok(0 | 503) | Err(_) => {}
            Ok(it) => panic!("status {it}"),
        }
        assert!(Instant::now() < until, "{path} is not served");
        thread::sleep(Duration::from_millis(10));
    }
}

fn check(name: &str, count: u32) {
    let fleet = Fleet::start(name, count);
    for (number, version) in (0..fleet.daemons.len()).zip(4..) {
        let statuses = fleet.deny_while_stopped(number, version);
        let is_promise_or_answer = |it: &u16| matches!(it, 200 | 503);
        assert!(statuses.iter().all(is_promise_or_answer), "daemon {number}: {statuses:?}");
        await_served(fleet.daemons[number].1, &config::own_path(version));
    }
}

/// A daemon that had been stopped while a configuration came answered requests for its routes with a
/// final 404 before it read the configuration.
#[test]
fn alone() {
    check("frozen-alone", 1);
}

/// As above, with peers: the heartbeats that had waited seemed to confirm the old configuration.
#[test]
fn beside_peers() {
    check("frozen-peers", 3);
}

/// A request for an unknown route waited for a confirmation beyond the end of the process, and its
/// connection closed without an answer.
#[test]
fn stop_while_waiting() {
    let fleet = Fleet::start("frozen-stop", 1);
    let callers = fleet.daemons[0].1;
    fleet.store.set_fault(Fault::Refuse(503));
    thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    let until = Instant::now() + GRACE;
    fleet.daemons[0].0.signal(Signal::TERM);
    // The last answers are due 600 ms, and the process ends 400 ms, before the grace period does.
    let left = until.saturating_duration_since(Instant::now());
    thread::sleep(left.saturating_sub(Duration::from_millis(660)));
    let res = send(callers, "/none/1").map(status);
    assert!(matches!(res, Ok(503) | Err(_)), "{res:?}");
}

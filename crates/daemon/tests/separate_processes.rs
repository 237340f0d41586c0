//! Daemons in separate processes: killed, stopped gracefully, started with bad settings.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::Duration,
};

use fleet::{Caller, Fleet, Settings, await_condition};

/// Timeout of every wait.
const LIMIT: Duration = Duration::from_secs(20);

/// A daemon in a separate process; killed when dropped.
struct Daemon {
    child: Child,
    caller: SocketAddr,
    peer: SocketAddr,
}

impl Daemon {
    fn start(fleet: &Fleet, name: &str, peers: &str) -> Self {
        let path = settings_file(name, &settings(fleet, peers));
        let mut child = Command::new(env!("CARGO_BIN_EXE_fireflydrumd"))
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("daemon starts");
        let mut lines = BufReader::new(child.stderr.take().expect("stderr")).lines();
        let serving = lines
            .by_ref()
            .filter_map(Result::ok)
            .find(|it| it.contains("serving callers on"))
            .expect("the daemon logs its addresses");
        thread::spawn(move || lines.for_each(drop));
        let address = |what: &str| {
            let rest = serving.split(&format!("{what} on ")).nth(1).expect("an address");
            let end = rest.find(',').unwrap_or(rest.len());
            rest[..end].parse().expect("an address")
        };
        Self { child, caller: address("callers"), peer: address("peers") }
    }

    fn serves(&self) -> bool {
        Caller::default().get(self.caller, "/stock/1").outcome == "done"
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}

fn settings(fleet: &Fleet, peers: &str) -> String {
    format!(
        "[daemon]\ncaller_address = 127.0.0.1:0\npeer_address = 127.0.0.1:0\n\
         admin_address = 127.0.0.1:0\nlog_address = {}\nhosts_address = {}\npeers = {peers}\n\
         peers_token = loopback-fleet-token\ndomain = a\ndirections_keep = 1s\n\
         log_decisions = no\n",
        fleet.log.address(),
        fleet.hosts.address(),
    )
}

fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
    fs::write(&path, text).expect("settings are written");
    path
}

fn standins() -> Fleet {
    Fleet::start(Settings { daemons: 0, ..Settings::default() }).expect("stand-ins start")
}

/// Starts three daemons and waits until they have discovered each other.
fn three(fleet: &Fleet, name: &str) -> Vec<Daemon> {
    let mut res = vec![Daemon::start(fleet, &format!("{name}-0"), "")];
    let first = res[0].peer.to_string();
    for it in 1..3 {
        res.push(Daemon::start(fleet, &format!("{name}-{it}"), &first));
    }
    let ready = || res.iter().all(Daemon::serves);
    await_condition(LIMIT, "three daemons serve", ready).expect("daemons serve");
    let directed = || directions(res[2].caller).len() == 3;
    await_condition(LIMIT, "three hosts in the directions", directed)
        .expect("daemons discover each other");
    res
}

/// Returns the entry hosts in a daemon's directions.
fn directions(host: SocketAddr) -> Vec<SocketAddr> {
    let body = Caller::default().get(host, "/fireflydrum/entry").body;
    let Ok(page) = serde_json::from_slice::<serde_json::Value>(&body) else { return vec![] };
    let hosts = page["hosts"].as_array().cloned().unwrap_or_default();
    hosts.iter().filter_map(|it| it.as_str()?.parse().ok()).collect()
}

#[test]
fn killed_daemon() {
    let fleet = standins();
    let mut daemons = three(&fleet, "killed");
    let survivors = [daemons[0].caller, daemons[1].caller];
    let stop = AtomicBool::new(false);
    let wrong = AtomicUsize::new(0);
    thread::scope(|scope| {
        for (number, host) in survivors.iter().enumerate() {
            let (stop, wrong) = (&stop, &wrong);
            scope.spawn(move || {
                let caller = Caller::default();
                while !stop.load(Ordering::Relaxed) {
                    let path = format!("/stock/{number}");
                    let res = caller.get(*host, &path);
                    let is_right = res.outcome == "done" && res.body == path.as_bytes();
                    wrong.fetch_add(usize::from(!is_right), Ordering::Relaxed);
                }
            });
        }
        let killed = daemons.pop().expect("three daemons");
        let address = killed.caller;
        drop(killed);
        let is_out = || survivors.iter().all(|it| !directions(*it).contains(&address));
        await_condition(LIMIT, "the killed daemon is out of the directions", is_out)
            .expect("survivors remove the killed daemon");
        stop.store(true, Ordering::Relaxed);
    });
    assert_eq!(wrong.load(Ordering::Relaxed), 0, "calls to the survivors failed");
}

#[test]
fn terminated_daemon() {
    let fleet = standins();
    let mut daemon = Daemon::start(&fleet, "terminated", "");
    await_condition(LIMIT, "the daemon serves", || daemon.serves()).expect("serves");
    let id = daemon.child.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &id]).status().expect("kill runs");
    assert!(sent.success());
    assert!(daemon.serves(), "serves callers that hold directions");
    let status = daemon.child.wait().expect("ends");
    assert_eq!(status.code(), Some(0));
}

#[test]
fn bad_settings() {
    let path = settings_file("bad", "[daemon]\nthreads = many\ncaller_adress = 1\n[extra]\n");
    let output = Command::new(env!("CARGO_BIN_EXE_fireflydrumd"))
        .arg("--check")
        .arg(&path)
        .output()
        .expect("daemon runs");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for expected in ["line 2", "threads", "line 3", "caller_adress", "peers_token", "extra"] {
        assert!(text.contains(expected), "no {expected} in:\n{text}");
    }
}

//! Signals in the first moments of a process: SIGHUP is a reload and SIGTERM a planned stop, also
//! while the settings are being read. Before, the handlers were installed once the daemon listened,
//! and a signal until then ended the process by its default action.

mod host;

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{self, Command, ExitStatus},
    thread,
    time::{Duration, Instant},
};

use host::{Addresses, Process};
use platform_standin::Store;
use rustix::process::Signal;

/// Timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Processes started and signalled one after the other.
const ROUNDS: u32 = 40;
/// Numbers of the signals in the mask of `/proc/PID/status`: bit 0 is signal 1.
const HANG_UP_AND_TERMINATE: u64 = 1 | 1 << 14;

fn await_condition(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "not in time: {what}");
    }
}

fn settings(store: &Store) -> (String, SocketAddr) {
    let addresses = Addresses::unused();
    (addresses.settings("h", store, "grace = 1s\n"), addresses.ready)
}

/// Sends a signal as soon as the process has handlers. Nothing can be done about a signal before:
/// the program has not been loaded then.
fn signal(process: &mut Process, signal: Signal) {
    await_condition("handlers are installed", || {
        process.assert_alive();
        let text = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
        let mask = text.lines().find_map(|it| it.strip_prefix("SigCgt:"));
        let mask = mask.and_then(|it| u64::from_str_radix(it.trim(), 16).ok()).unwrap_or_default();
        mask & HANG_UP_AND_TERMINATE == HANG_UP_AND_TERMINATE
    });
    process.signal(signal);
}

fn await_end(process: &mut Process) -> ExitStatus {
    let mut status = None;
    await_condition("the process ends", || {
        thread::sleep(Duration::from_millis(5));
        status = process.try_wait().unwrap();
        status.is_some()
    });
    status.expect("a status")
}

/// A path that only this process uses.
fn settings_path(name: &str) -> PathBuf {
    host::settings_path(&format!("{name}-{}", process::id()))
}

/// A settings file that the daemon has to wait for, and what is to be written to it.
fn pipe(name: &str, store: &Store) -> (PathBuf, String, SocketAddr) {
    let path = settings_path(name);
    // It may be left over from a process with the same id.
    let _left = fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo runs").success());
    let (text, ready) = settings(store);
    (path, text, ready)
}

/// Lets the daemon read its settings, and puts a file in the place of the pipe.
fn write_settings(path: &Path, text: &str) {
    let mut pipe = File::options().write(true).open(path).expect("the daemon reads the pipe");
    let file = path.with_extension("new");
    fs::write(&file, text).expect("settings are written");
    fs::rename(&file, path).expect("the pipe is replaced");
    pipe.write_all(text.as_bytes()).expect("the daemon reads its settings");
}

#[test]
fn reload_while_settings_are_read() {
    let store = Store::start();
    let (path, text, ready) = pipe("early-reload", &store);
    let mut daemon = Process::start(&path);
    signal(&mut daemon, Signal::HUP);
    write_settings(&path, &text);
    await_condition("the daemon listens", || {
        daemon.assert_alive();
        TcpStream::connect(ready).is_ok()
    });
    signal(&mut daemon, Signal::TERM);
    assert_eq!(await_end(&mut daemon).code(), Some(0));
}

#[test]
fn stop_while_settings_are_read() {
    let store = Store::start();
    let (path, text, _ready) = pipe("early-stop", &store);
    let mut daemon = Process::start(&path);
    signal(&mut daemon, Signal::TERM);
    write_settings(&path, &text);
    assert_eq!(await_end(&mut daemon).code(), Some(0));
}

/// Signals at any moment of the start: SIGHUP, a little later SIGTERM.
#[test]
fn signals_after_spawn() {
    let store = Store::start();
    let path = settings_path("early-signals");
    fs::write(&path, settings(&store).0).expect("settings are written");
    for round in 0..ROUNDS {
        let mut daemon = Process::start(&path);
        signal(&mut daemon, Signal::HUP);
        thread::sleep(Duration::from_micros(u64::from(round) * 100));
        signal(&mut daemon, Signal::TERM);
        assert_eq!(await_end(&mut daemon).code(), Some(0), "round {round}");
    }
}

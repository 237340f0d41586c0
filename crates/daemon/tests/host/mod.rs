//! The daemon of a host as a process of its own: its settings, its start and its end.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    fs::{self, File},
    net::SocketAddr,
    ops::{Deref, DerefMut},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use platform_standin::{Store, loopback};
use rustix::process::{Pid, Signal, kill_process};

/// Addresses of a daemon by their users.
#[derive(Clone, Copy)]
pub(crate) struct Addresses {
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) directory: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

impl Addresses {
    /// Addresses that nothing else uses.
    pub(crate) fn unused() -> Self {
        let [callers, ready, directory, peers, metrics] = [(); 5].map(|()| loopback::address());
        Self { callers, ready, directory, peers, metrics }
    }

    /// Settings of a daemon at these addresses in the failure domain `a`; `more` has further lines.
    pub(crate) fn settings(&self, host: &str, store: &Store, more: &str) -> String {
        let Self { callers, ready, directory, peers, metrics } = self;
        format!(
            "[gateway]\nhost = {host}\ndomain = a\ncaller_address = {callers}\n\
             ready_address = {ready}\ndirectory_address = {directory}\n\
             peer_address = {peers}\nmetrics_address = {metrics}\nstore_address = {}\n{more}",
            store.address
        )
    }
}

/// A process of the daemon; it is killed when it is dropped.
pub(crate) struct Process(Child);

impl Process {
    /// Starts a daemon that reads its settings from a file or a pipe. Its log is written beside it.
    pub(crate) fn start(settings: &Path) -> Self {
        let log = File::create(settings.with_extension("log")).expect("a log file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fireflydrumd"));
        command.arg(settings).stdin(Stdio::null()).stdout(log);
        Self(command.spawn().expect("the daemon starts"))
    }

    /// Starts a daemon with the settings in `text`, which are written to a file named `name`.
    pub(crate) fn start_with(name: &str, text: &str) -> Self {
        let path = settings_path(name);
        fs::write(&path, text).expect("settings are written");
        Self::start(&path)
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.0.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("an id"), signal).expect("the signal is sent");
    }

    /// Fails if the process has ended.
    pub(crate) fn assert_alive(&mut self) {
        assert_eq!(self.0.try_wait().expect("the state of the process"), None, "it has ended");
    }
}

impl Deref for Process {
    type Target = Child;

    fn deref(&self) -> &Child {
        &self.0
    }
}

impl DerefMut for Process {
    fn deref_mut(&mut self) -> &mut Child {
        &mut self.0
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _killed = self.0.kill();
        let _ended = self.0.wait();
    }
}

/// Path of the settings file `name`.
pub(crate) fn settings_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"))
}

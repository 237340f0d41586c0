//! The first steps of a process.

use std::{io, path::Path, time::Duration};

use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{Signal, SignalKind, signal},
};

use crate::{
    Settings, logs,
    platform::Platform,
    process::{Error, Result, serve},
};

/// Time for the last log lines to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// What a signal asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// A planned stop, with the reason for the log.
    Stop(&'static str),
    /// The settings are to be read again.
    Reload,
}

/// Signals to the process, also those that arrived before anybody waited for them.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Order {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => Order::Stop("terminate"),
            _ = self.interrupt.recv() => Order::Stop("interrupt"),
            _ = self.hang_up.recv() => Order::Reload,
        }
    }
}

/// A process whose signal handlers are installed. Without them, a signal ends the process, so this
/// comes before anything that takes time, also before the settings are read.
#[derive(Debug)]
pub struct Start {
    /// Signals to the process.
    pub signals: Signals,
    runtime: Runtime,
}

impl Start {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails if the runtime or a signal handler can't be set up.
    pub fn new() -> Result<Self> {
        let io = |what| move |source| Error::Io { what, source };
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(io("cannot start the runtime"))?;
        let entered = runtime.enter();
        let signals = Signals::install().map_err(io("cannot install signal handlers"))?;
        drop(entered);
        Ok(Self { signals, runtime })
    }

    /// Runs a daemon until it receives a signal to stop.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub fn run<P: Platform>(self, settings: Settings, path: &Path, platform: P) -> Result<()> {
        let res = serve(&self.runtime, self.signals, settings, path, platform);
        logs::flush(FLUSH_TIMEOUT);
        res
    }
}

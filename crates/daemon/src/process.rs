//! A running daemon: its threads, its sockets and its planned stop.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use tokio::{net::TcpListener, runtime::Runtime, sync::watch, task::JoinHandle};

use crate::{
    Settings, admin,
    caller::listener::Listener,
    configuration::{Follower, Nobody},
    path::Path,
    probe,
    state::State,
};

/// Name of the daemon's threads.
pub const THREAD_NAME: &str = "fireflydrumd";
/// Time between two looks at requests that wait.
const TICK: Duration = Duration::from_millis(5);

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be used.
    #[error("listener on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The threads could not be started.
    #[error("threads: {0}")]
    Threads(#[from] std::io::Error),
    /// The admin listener could not start.
    #[error(transparent)]
    Admin(#[from] admin::Error),
}

/// A daemon, or why it could not start.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A running daemon.
pub struct Process {
    state: Arc<State>,
    runtime: Runtime,
    listener: Option<JoinHandle<()>>,
    stop_listener: watch::Sender<bool>,
    stop_threads: Arc<AtomicBool>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
}

impl Process {
    /// Starts a daemon; it serves once it has read a configuration.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be used or threads can't be started.
    pub fn start(settings: Settings) -> Result<Self> {
        let clock = Arc::new(clock::System);
        let state = Arc::new(State::new(settings, clock, fastrand::u64(1..)));
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(state.settings.threads)
            .thread_name(THREAD_NAME)
            .enable_all()
            .build()?;
        let address = state.settings.caller_address;
        let socket = runtime
            .block_on(TcpListener::bind(address))
            .map_err(|source| Error::Bind { address, source })?;
        let caller_address = socket.local_addr()?;
        state.caller_address.get_or_init(|| caller_address);
        let stop_threads = Arc::new(AtomicBool::new(false));
        let admin_address = admin::start(Arc::clone(&state), Arc::clone(&stop_threads))?;
        let (stop_listener, stopping) = watch::channel(false);
        let listener = Listener::new(socket, state.settings.connection_limit);
        let path = Arc::new(Path::new(Arc::clone(&state)));
        let listener = runtime.spawn(listener.run(path, stopping));
        runtime.spawn(tick(Arc::clone(&state)));
        runtime.spawn(probe::run(Arc::clone(&state)));
        follow(&state, &stop_threads);
        log::info!("serving callers on {caller_address}, operators on {admin_address}");
        Ok(Self {
            state,
            runtime,
            listener: Some(listener),
            stop_listener,
            stop_threads,
            caller_address,
            admin_address,
        })
    }

    /// Address that callers connect to.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Address that operators connect to.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Version of the configuration in force; none before the first.
    #[must_use]
    pub fn version(&self) -> Option<document::Version> {
        self.state.table().version
    }

    /// Waits until the operating system asks the process to end.
    pub fn wait_for_signal(&self) {
        use tokio::signal::unix::{SignalKind, signal};
        self.runtime.block_on(async {
            let terminate = signal(SignalKind::terminate());
            let interrupt = signal(SignalKind::interrupt());
            let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
                return std::future::pending().await;
            };
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        });
    }

    /// Stops as planned: finishes the requests in progress, then ends.
    pub fn stop(mut self) {
        self.stop_listener.send_replace(true);
        if let Some(it) = self.listener.take() {
            let limit = self.state.settings.drain_limit;
            let drained = self.runtime.block_on(async { tokio::time::timeout(limit, it).await });
            if drained.is_err() {
                log::error!("requests were still in progress after {limit:?}");
            }
        }
        self.stop_threads.store(true, Ordering::Relaxed);
        self.runtime.shutdown_background();
    }
}

fn follow(state: &Arc<State>, stop: &Arc<AtomicBool>) {
    let state = Arc::clone(state);
    let stop = Arc::clone(stop);
    thread::spawn(move || {
        let settings = platform::Settings::default();
        let log = platform::Http::new(state.settings.log_address, settings);
        Follower::new(state, Box::new(log), Box::new(Nobody)).run(&stop);
    });
}

async fn tick(state: Arc<State>) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        for it in state.table().services.values() {
            it.tick();
        }
    }
}

//! A running daemon: its threads, its sockets and its graceful stop.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use gateway::start::{Order, Signals};
use tokio::{
    runtime::{Builder, Runtime},
    sync::watch,
    task::JoinHandle,
};

use crate::{
    Settings, admin,
    caller::listener::Listener,
    configuration::Follower,
    membership::{Heartbeats, HostList, Membership, Responder},
    orders, probe,
    proxy::Proxy,
    state::{Addresses, State},
};

/// Name of the threads that serve callers.
pub const CALLER_THREAD: &str = "firefly-caller";
/// Name of the threads that do all other work.
pub const CONTROL_THREAD: &str = "firefly-control";
/// Interval of the services' timers while requests are queued.
const BUSY_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of the services' timers while no request is queued.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a leaving daemon checks whether it can stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be used.
    #[error("cannot bind {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The threads could not be started.
    #[error("cannot start threads: {0}")]
    Threads(#[from] std::io::Error),
    /// The admin listener could not start.
    #[error(transparent)]
    Admin(#[from] admin::Error),
    /// The listener for peers could not start.
    #[error(transparent)]
    Peer(#[from] peer::StartError),
}

/// Result of starting a daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A running daemon.
pub struct Process {
    state: Arc<State>,
    membership: Arc<Membership>,
    callers: Runtime,
    control: Runtime,
    peers: peer::Server,
    listener: JoinHandle<()>,
    stop_listener: watch::Sender<bool>,
    stop_threads: Arc<AtomicBool>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
}

impl Process {
    /// Starts a daemon; it serves requests once it has read a configuration.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be used or threads can't be started.
    pub fn start(settings: Settings) -> Result<Self> {
        let clock = Arc::new(clock::System);
        let state = Arc::new(State::new(settings, clock, fastrand::u64(1..)));
        let callers = runtime(CALLER_THREAD, state.settings.threads)?;
        let control = runtime(CONTROL_THREAD, 1)?;
        let caller_socket = bind(state.settings.caller_address)?;
        let peer_socket = bind(state.settings.peer_address)?;
        let caller_address = caller_socket.local_addr()?;
        let stop_threads = Arc::new(AtomicBool::new(false));
        let admin_address = admin::start(Arc::clone(&state), Arc::clone(&stop_threads))?;
        let membership = state.start_membership(Addresses {
            caller: caller_address,
            peer: peer_socket.local_addr()?,
            admin: admin_address,
        });

        let responder = Arc::new(Responder::new(Arc::clone(&state), Arc::clone(&membership)));
        let token = state.settings.peers_token.clone();
        let limits = peer::Settings::default();
        let peers =
            peer::Server::start(control.handle(), peer_socket, token.clone(), limits, responder)?;
        let client = Arc::new(peer::Client::new(token, limits));
        let heartbeats = Heartbeats::new(
            Arc::clone(&state),
            Arc::clone(&membership),
            Arc::clone(&client),
            control.handle().clone(),
        );
        orders::start(&state, &membership, &client, control.handle(), &stop_threads)?;
        control.spawn(heartbeats.clone().run());
        control.spawn(heartbeats.clone().leave_on_request());
        control.spawn(tick(Arc::clone(&state)));
        callers.spawn(probe::run(Arc::clone(&state)));
        follow_configuration(&state, heartbeats, &stop_threads)?;
        follow_host_list(&state, &stop_threads)?;

        let (stop_listener, stopping) = watch::channel(false);
        let listener = listen(&callers, &state, caller_socket, stopping)?;
        log::info!(
            "serving callers on {caller_address}, operators on {admin_address}, peers on {}",
            peers.address()
        );
        Ok(Self {
            state,
            membership,
            callers,
            control,
            peers,
            listener,
            stop_listener,
            stop_threads,
            caller_address,
            admin_address,
        })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address that operators connect to.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the address that peers connect to.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the state of the daemon, for tests and measurements.
    #[must_use]
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Returns the version of the configuration in force; `None` before the first.
    #[must_use]
    pub fn version(&self) -> Option<document::Version> {
        self.state.table().version
    }

    /// Waits for a request to leave, from a signal, an operator or the host list.
    /// A signal to reload changes nothing: the configuration is followed anyway.
    pub fn wait_for_leave(&self, mut signals: Signals) {
        let mut leave = self.state.leave.subscribe();
        self.control.block_on(async {
            let stop = async { while signals.next().await == Order::Reload {} };
            tokio::select! {
                () = stop => {}
                _ = leave.wait_for(|it| *it) => {}
            }
        });
    }

    /// Stops gracefully: leaves the directions, serves callers until the directions that they hold
    /// have expired, finishes the work in progress, then closes the sockets.
    pub fn stop(self) {
        self.state.leave.send_replace(true);
        let limit = self.state.settings.directions_keep + self.state.settings.drain_limit;
        let finished = self.control.block_on(async {
            let finish = async {
                while !self.can_stop() {
                    tokio::time::sleep(STOP_POLL_INTERVAL).await;
                }
            };
            tokio::time::timeout(limit, finish).await
        });
        if finished.is_err() {
            log::error!("work still in progress after {limit:?}; stopping anyway");
        }
        self.close();
    }

    /// Stops at once, as if the process were killed: no work is finished and no peer is notified.
    pub fn kill(self) {
        self.stop_threads.store(true, Ordering::Relaxed);
        self.callers.shutdown_background();
        self.control.shutdown_background();
    }

    fn can_stop(&self) -> bool {
        self.membership.phase() == member::Phase::Leaving
            && self.membership.finish(self.state.in_progress.load(Ordering::Relaxed))
    }

    /// Closes the sockets once every reply is sent.
    fn close(self) {
        self.stop_listener.send_replace(true);
        let limit = self.state.settings.drain_limit;
        let closing = async { tokio::time::timeout(limit, self.listener).await };
        if self.callers.block_on(closing).is_err() {
            log::error!("replies still being sent after {limit:?}; closing anyway");
        }
        // Orders that peers forwarded need the threads that read the log.
        self.control.block_on(self.peers.stop());
        self.stop_threads.store(true, Ordering::Relaxed);
        self.callers.shutdown_background();
        self.control.shutdown_background();
        log::info!("stopped");
    }
}

fn runtime(name: &str, threads: usize) -> std::io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(threads).thread_name(name).enable_all().build()
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    let bind = |source| Error::Bind { address, source };
    let socket = TcpListener::bind(address).map_err(bind)?;
    socket.set_nonblocking(true).map_err(bind)?;
    Ok(socket)
}

fn listen(
    callers: &Runtime,
    state: &Arc<State>,
    socket: TcpListener,
    stop: watch::Receiver<bool>,
) -> Result<JoinHandle<()>> {
    let _context = callers.enter();
    let socket = tokio::net::TcpListener::from_std(socket)?;
    let listener =
        Listener::new(socket, state.settings.connection_limit, state.settings.head_timeout);
    let proxy = Arc::new(Proxy::new(Arc::clone(state)));
    Ok(callers.spawn(listener.run(proxy, stop)))
}

fn follow_configuration(
    state: &Arc<State>,
    peers: Heartbeats,
    stop: &Arc<AtomicBool>,
) -> std::io::Result<()> {
    let log = platform::Http::new(state.settings.log_address, platform::Settings::default());
    let follower = Follower::new(Arc::clone(state), Box::new(log), Box::new(peers));
    spawn(stop, move |stop| follower.run(stop))
}

fn follow_host_list(state: &Arc<State>, stop: &Arc<AtomicBool>) -> std::io::Result<()> {
    let hosts = platform::Http::new(state.settings.hosts_address, platform::Settings::default());
    let list = HostList::new(Arc::clone(state), Box::new(hosts));
    spawn(stop, move |stop| list.run(stop))
}

fn spawn(
    stop: &Arc<AtomicBool>,
    work: impl FnOnce(&AtomicBool) + Send + 'static,
) -> std::io::Result<()> {
    let stop = Arc::clone(stop);
    thread::Builder::new().name(CONTROL_THREAD.into()).spawn(move || work(&stop))?;
    Ok(())
}

/// Runs the services' timers, at the short interval only while requests are queued: ticking many
/// services every few milliseconds would use up the processor time reserved for control.
async fn tick(state: Arc<State>) {
    loop {
        let table = state.table();
        let mut is_busy = false;
        for it in table.services.values() {
            is_busy |= it.tick();
        }
        if is_busy {
            tokio::time::sleep(BUSY_INTERVAL).await;
            continue;
        }
        tokio::select! {
            () = state.request_queued.notified() => {}
            () = tokio::time::sleep(IDLE_INTERVAL) => {}
        }
    }
}

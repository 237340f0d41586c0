//! A stand-in for a backend server.
//!
//! It runs a fixed number of requests concurrently, queues others in order of arrival, and reports
//! its load in each answer and at [`LOAD_PATH`]. The answer to a request without a body is the path
//! and query; the answer to a request with a body is the body or its [`digest`].

mod answer;
mod connection;
mod execution;
mod faults;
mod handler;
mod load;
mod settings;
mod state;

use std::{
    hash::{DefaultHasher, Hasher},
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    runtime::{self, Handle},
    sync::watch,
    task::JoinSet,
};

use connection::Connection;
pub use execution::Execution;
pub use faults::{Delivery, Faults, Intake};
pub use load::Load;
pub use settings::{Reply, Settings};
use state::State;

/// Request header with the remaining time in milliseconds.
pub const DEADLINE_HEADER: &str = "fireflydrum-deadline-ms";
/// Request header with the id of the attempt, which is copied to the answer.
pub const ATTEMPT_HEADER: &str = "fireflydrum-attempt";
/// Answer header with the load, in the [`Display`](std::fmt::Display) format of [`Load`].
pub const LOAD_HEADER: &str = "fireflydrum-load";
/// Answer header with the reason why the request was not run.
pub const SHED_HEADER: &str = "fireflydrum-shed";
/// Path of the load probe.
pub const LOAD_PATH: &str = "/load";

/// Time between two attempts to listen again after a fault.
const LISTEN_INTERVAL: Duration = Duration::from_millis(5);

/// A running backend server; it stops and closes its connections when it is dropped.
pub struct Backend {
    address: SocketAddr,
    state: Arc<State>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Backend {
    /// Starts a backend server on its own thread.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if no port or thread is available.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let mut backend = Self::start_on(runtime.handle(), settings)?;
        let mut stopped = backend.stop.subscribe();
        backend.thread = Some(thread::spawn(move || {
            // The handle owns the sender; an error means that the handle was dropped, which is a stop
            // too.
            let _ = runtime.block_on(stopped.wait_for(|it| *it));
        }));
        Ok(backend)
    }

    /// Starts a backend server on the given runtime, which must have time and I/O enabled.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if no port is available.
    pub fn start_on(runtime: &Handle, settings: Settings) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::new(settings));
        let (stop, mut stopped) = watch::channel(false);
        let shared = Arc::clone(&state);
        runtime.spawn(async move {
            tokio::select! {
                () = accept(listener, address, shared) => {}
                _ = stopped.wait_for(|it| *it) => {}
            }
        });
        Ok(Self { address, state, stop, thread: None })
    }

    /// Address at which the server listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults, also for requests in progress.
    pub fn update(&self, change: impl FnOnce(&mut Faults)) {
        self.state.faults.send_modify(change);
    }

    /// Current actual load, whatever the server reports.
    #[must_use]
    pub fn load(&self) -> Load {
        self.state.load()
    }

    /// Counts of the requests with the idempotency key `key`.
    #[must_use]
    pub fn execution(&self, key: &str) -> Execution {
        self.state.execution(key)
    }

    /// Counts of all requests.
    #[must_use]
    pub fn total(&self) -> Execution {
        self.state.total()
    }

    /// Number of load probes answered.
    #[must_use]
    pub fn probes(&self) -> u64 {
        self.state.probes()
    }

    /// Starts the cold-start phase again, as after a restart of the server.
    pub fn reset_cold_start(&self) {
        self.state.reset_cold_start();
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(it) = self.thread.take() {
            // A panic was already reported by the thread.
            let _ = it.join();
        }
    }
}

/// Length and hash of a body, to compare long request bodies.
#[must_use]
pub fn digest(body: &[u8]) -> String {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    format!("bytes={} hash={:016x}", body.len(), hasher.finish())
}

/// Accepts connections; while the fault `refuse` is set, the listener is closed.
async fn accept(listener: TcpListener, address: SocketAddr, state: Arc<State>) {
    let mut listener = tokio::net::TcpListener::from_std(listener).ok();
    let mut connections = JoinSet::new();
    let mut faults = state.faults.subscribe();
    loop {
        if faults.borrow_and_update().refuse {
            listener = None;
            if faults.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Some(it) = &listener else {
            listener = tokio::net::TcpListener::bind(address).await.ok();
            tokio::time::sleep(LISTEN_INTERVAL).await;
            continue;
        };
        tokio::select! {
            _ = faults.changed() => {}
            Some(_) = connections.join_next() => {}
            Ok((stream, _)) = it.accept() => {
                if connections.len() < state.settings.connections {
                    connections.spawn(serve(stream, Arc::clone(&state)));
                }
            }
        }
    }
}

async fn serve(stream: tokio::net::TcpStream, state: Arc<State>) {
    // Without TCP_NODELAY, answers wait for the client's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let (connection, reset) = Connection::new(stream);
    let service = service_fn(|req| handler::handle(Arc::clone(&state), reset.clone(), req));
    // Broken connections are expected: they are simulated faults.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(connection), service)
        .await;
}

//! Accepts connections from callers, within limits, until it is stopped.

use std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
};

use crate::caller::reply::Reply;

/// Maximum size of a request's head in bytes.
const HEAD_LIMIT_BYTES: usize = 32 * 1024;
/// Maximum number of headers in a request.
const HEADER_LIMIT: usize = 100;
/// Pause after a failed accept, to avoid a busy loop while no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request from `caller`.
    fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
        caller: SocketAddr,
    ) -> impl Future<Output = Reply> + Send;
}

/// Accepts connections and serves them with a [`Handler`].
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    connections: Arc<Semaphore>,
    head_timeout: Duration,
}

impl Listener {
    /// Creates a listener that serves at most `limit` connections at once; others wait in the
    /// kernel's queue. A connection that sends no whole head within `head_timeout` is closed.
    #[must_use]
    pub fn new(socket: TcpListener, limit: usize, head_timeout: Duration) -> Self {
        Self { socket, connections: Arc::new(Semaphore::new(limit)), head_timeout }
    }

    /// Serves until `stop` is true, then waits until every connection has sent its last reply.
    pub async fn run<H: Handler>(self, handler: Arc<H>, mut stop: watch::Receiver<bool>) {
        let mut protocol = http1::Builder::new();
        protocol
            .timer(TokioTimer::new())
            .header_read_timeout(self.head_timeout)
            .max_buf_size(HEAD_LIMIT_BYTES)
            .max_headers(HEADER_LIMIT);
        let (open, mut drained) = tokio::sync::mpsc::channel::<Infallible>(1);
        loop {
            let accepted = tokio::select! {
                it = self.accept() => it,
                () = stopped(&mut stop) => break,
            };
            let Some((stream, caller, permit)) = accepted else { continue };
            let (protocol, handler) = (protocol.clone(), Arc::clone(&handler));
            let (stop, open) = (stop.clone(), open.clone());
            tokio::spawn(async move {
                serve(protocol, stream, caller, handler, stop).await;
                drop((open, permit));
            });
        }
        drop(open);
        drained.recv().await;
    }

    async fn accept(&self) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
        let permit = Arc::clone(&self.connections).acquire_owned().await.ok()?;
        match self.socket.accept().await {
            Ok((stream, caller)) => Some((stream, caller, permit)),
            Err(e) => {
                log::warn!("connection not accepted: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                None
            }
        }
    }
}

/// Serves one connection until its last reply is sent.
async fn serve<H: Handler>(
    protocol: http1::Builder,
    stream: TcpStream,
    caller: SocketAddr,
    handler: Arc<H>,
    mut stop: watch::Receiver<bool>,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY not set for caller {caller}: {e}");
    }
    let service = service_fn(move |req| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(req, caller).await) }
    });
    let connection = protocol.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let served = tokio::select! {
        it = connection.as_mut() => it,
        () = stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = served {
        log::debug!("connection of caller {caller} failed: {e}");
    }
}

/// Waits until `stop` is true or its sender is dropped.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _stopped = stop.wait_for(|it| *it).await;
}

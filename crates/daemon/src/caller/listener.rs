//! Accepts connections from callers, within limits, until it is stopped.

use std::{
    convert::Infallible,
    future::{Future, poll_fn},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use gateway::socket;
use hyper::{
    Request,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
};

use crate::caller::{reply::Reply, upload::Upload};

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
        req: Request<Upload>,
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
        Box::pin(async move { Ok::<_, Infallible>(answer(handler, req, caller).await) })
    });
    let mut connection = protocol.serve_connection(TokioIo::new(stream), service);
    let served = tokio::select! {
        it = poll_fn(|cx| connection.poll_without_shutdown(cx)) => it,
        () = stopped(&mut stop) => {
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|cx| connection.poll_without_shutdown(cx)).await
        }
    };
    match served {
        Ok(()) => socket::linger(connection.into_parts().io.into_inner()).await,
        Err(e) => log::debug!("connection of caller {caller} failed: {e}"),
    }
}

/// Answers a request. If the rest of its body is not worth reading, the reply says that the
/// connection closes.
async fn answer<H: Handler>(handler: Arc<H>, req: Request<Incoming>, caller: SocketAddr) -> Reply {
    // Reading the rest would ask the caller to send it.
    let is_held_back = req.headers().contains_key(header::EXPECT);
    let (head, body) = req.into_parts();
    let (upload, remainder) = Upload::new(body);
    let mut reply = handler.handle(Request::from_parts(head, upload), caller).await;
    let is_complete = if is_held_back { remainder.is_empty() } else { remainder.finish().await };
    if !is_complete {
        reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

/// Waits until `stop` is true or its sender is dropped.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _stopped = stop.wait_for(|it| *it).await;
}

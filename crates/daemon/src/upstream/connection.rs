//! One connection to a backend server.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::stream::Stream;

/// Timeout of opening a TCP connection to a backend server.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The connection could not be opened; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The backend server could not be reached.
    #[error("connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection took longer than [`CONNECT_TIMEOUT`].
    #[error("connect: timed out")]
    Timeout,
    /// The HTTP library refused the connection.
    #[error("connect: {0}")]
    Handshake(#[from] hyper::Error),
}

/// Result of opening a connection.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An open connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// When the connection became idle.
    pub idle_since: Instant,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Every [`Error`] means that no request was sent.
    pub async fn open(address: SocketAddr, now: Instant) -> Result<Self> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_elapsed| Error::Timeout)??;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::handshake(TokioIo::new(Stream::new(stream))).await?;
        tokio::spawn(async move {
            if let Err(e) = driver.await {
                log::debug!("connection to {address} ended: {e}");
            }
        });
        Ok(Self { sender, idle_since: now })
    }

    /// Whether the connection is open, as far as this side can detect.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Waits until the connection can carry a request; `false` if it closed instead.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request once; the library never sends it again.
    ///
    /// # Errors
    ///
    /// The error holds the request if its first byte was never written.
    pub async fn send(
        &mut self,
        req: hyper::Request<Full<Bytes>>,
    ) -> std::result::Result<
        hyper::Response<Incoming>,
        hyper::client::conn::TrySendError<hyper::Request<Full<Bytes>>>,
    > {
        self.sender.try_send_request(req).await
    }
}

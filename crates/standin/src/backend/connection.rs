//! A connection that can be reset instead of closed.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Whether the connection is reset instead of closed.
pub(super) type Reset = Arc<AtomicBool>;

/// A TCP stream that is reset instead of closed if the flag is set.
pub(super) struct Connection {
    stream: TcpStream,
    reset: Reset,
}

impl Connection {
    /// Wraps a stream and returns it with its flag.
    pub(super) fn new(stream: TcpStream) -> (Self, Reset) {
        let reset = Reset::default();
        (Self { stream, reset: Arc::clone(&reset) }, reset)
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.reset.load(Ordering::Acquire) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.reset.load(Ordering::Acquire) {
            // If the option can't be set, the connection is closed instead, which also truncates the
            // answer.
            let _ = self.stream.set_zero_linger();
        }
    }
}

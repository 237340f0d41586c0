//! Byte stream of a connection to a backend server.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A TCP stream whose end is an error while a request is being written.
///
/// The end completes an answer without a length. A backend server that closes the connection while it
/// is sent a request ends it in order, and resets it when the next byte of the request arrives.
#[derive(Debug)]
pub(super) struct Stream {
    tcp: TcpStream,
    /// Whether all that was to be written has been; the HTTP library flushes only then.
    is_flushed: bool,
}

impl Stream {
    /// Creates a stream on which nothing has been written.
    pub(super) fn new(tcp: TcpStream) -> Self {
        Self { tcp, is_flushed: true }
    }

    /// Fails if the end of the stream is not that of an answer.
    fn check_end(&self) -> io::Result<()> {
        if !self.is_flushed {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        // A read behind the end doesn't report a reset that follows it.
        self.tcp.take_error()?.map_or(Ok(()), Err)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.remaining();
        ready!(Pin::new(&mut self.tcp).poll_read(cx, buffer))?;
        let is_end = before > 0 && buffer.remaining() == before;
        Poll::Ready(if is_end { self.check_end() } else { Ok(()) })
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_flushed = false;
        Pin::new(&mut self.tcp).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.is_flushed = false;
        Pin::new(&mut self.tcp).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.tcp).poll_flush(cx))?;
        self.is_flushed = true;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}

//! Options of TCP sockets.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Idle time before the first keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval of keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which the connection counts as broken.
const KEEPALIVE_RETRIES: u32 = 2;
/// Longest time that bytes sent to an upstream or the store may remain unacknowledged.
pub const SERVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time that bytes sent to a caller may remain unacknowledged. A receive window that never opens
/// far enough for the next segment counts as this, also while the caller reads.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for a caller to read the last answer before its connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Sets the options of a connection: sends small messages without delay, and detects within
/// `user_timeout` that the other end has vanished without closing it.
///
/// # Errors
///
/// Fails if the operating system rejects an option.
pub fn prepare(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    set_user_timeout(stream, user_timeout)
}

/// Sets the longest time that bytes sent may remain unacknowledged.
///
/// # Errors
///
/// Fails if the operating system rejects the option.
pub fn set_user_timeout(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout))
}

/// Gives a caller time to read the last answer, then closes its connection. Closing a socket with
/// unread bytes would reset the connection and discard the answer.
pub async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let drain = async {
        let mut unread = [0; 4096];
        while stream.read(&mut unread).await.is_ok_and(|it| it > 0) {}
    };
    // On timeout, the caller has had time enough to read.
    let _elapsed = tokio::time::timeout(LINGER_TIMEOUT, drain).await;
}

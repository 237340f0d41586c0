//! Options of TCP sockets.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the other end is asked whether it is still there.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Questions without an answer after which the connection counts as broken.
const KEEPALIVE_RETRIES: u32 = 2;
/// Longest time that bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Lets a connection send small messages at once and notice within seconds that its other end has
/// vanished without closing it.
///
/// # Errors
///
/// Fails if the operating system refuses an option.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

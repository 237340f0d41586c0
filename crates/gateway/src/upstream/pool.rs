//! Idle connections to upstreams.

use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use tokio::net::TcpStream;

use crate::{registry::UpstreamId, socket};

/// Longest time that a connection stays idle; upstreams close theirs a little later.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

/// A connection to an upstream.
#[derive(Debug)]
pub struct Link {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes received and not yet read.
    pub buffer: BytesMut,
}

struct Idle {
    link: Link,
    since: Instant,
    limit: Duration,
}

/// Idle connections by upstream.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<UpstreamId, Vec<Idle>>>,
}

impl Pool {
    /// A connection to an upstream: one that was idle for less than `reuse`, or a new one.
    ///
    /// # Errors
    ///
    /// Fails if the upstream doesn't accept a connection within `timeout`.
    pub async fn take(
        &self,
        id: &UpstreamId,
        address: SocketAddr,
        now: Instant,
        reuse: Duration,
        timeout: Duration,
    ) -> io::Result<Link> {
        if let Some(it) = self.take_idle(id, now, reuse) {
            return Ok(it);
        }
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_elapsed| io::ErrorKind::TimedOut)??;
        socket::prepare(&stream)?;
        Ok(Link { stream, buffer: BytesMut::new() })
    }

    /// Keeps a connection, if any is left, for later use, unless `count` are kept already; `limit` is
    /// how long the upstream keeps it, if it said so.
    pub fn put(
        &self,
        id: &UpstreamId,
        now: Instant,
        link: Option<Link>,
        limit: Option<Duration>,
        count: usize,
    ) {
        let Some(link) = link else { return };
        let limit = limit.map_or(MAX_IDLE_TIME, |it| it.mul_f64(0.8).min(MAX_IDLE_TIME));
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(id.clone()).or_default();
        if links.len() < count {
            links.push(Idle { link, since: now, limit });
        }
    }

    /// Closes the idle connections to an upstream.
    pub fn forget(&self, id: &str) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes connections that were idle for too long or that the upstream has closed.
    pub fn sweep(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(|it| now.duration_since(it.since) < it.limit && is_quiet(&it.link));
        }
        idle.retain(|_, links| !links.is_empty());
    }

    fn take_idle(&self, id: &UpstreamId, now: Instant, reuse: Duration) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(id)?;
        // The newest is the least likely to have been closed.
        while let Some(it) = links.pop() {
            let age = now.saturating_duration_since(it.since);
            if age < it.limit.min(reuse) && is_quiet(&it.link) {
                return Some(it.link);
            }
            if age >= reuse && age < it.limit {
                links.push(it);
                return None;
            }
        }
        None
    }
}

/// Whether the upstream has neither closed the connection nor sent anything unasked.
fn is_quiet(link: &Link) -> bool {
    let mut byte = [0];
    match link.stream.try_read(&mut byte) {
        Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}

//! Idle connections to upstreams.

use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use tokio::net::TcpStream;

use crate::{
    http,
    registry::{Registration, UpstreamId},
    socket,
};

/// Longest time that a connection is kept idle; upstreams close theirs a little later.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

/// A connection to an upstream.
#[derive(Debug)]
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes received and not yet parsed.
    pub buffer: BytesMut,
    /// What is known of an incomplete head in these bytes.
    pub search: http::Search,
}

impl Connection {
    /// Allows the upstream to leave bytes unread for `limit`, if that is longer than usual, from now on:
    /// it may still read after its answer. A receive window that stays closed counts as bytes without an
    /// acknowledgement.
    ///
    /// # Errors
    ///
    /// Fails if the operating system rejects the option.
    pub fn allow_unread(&self, limit: Duration) -> io::Result<()> {
        socket::set_user_timeout(&self.stream, limit.max(socket::SERVER_TIMEOUT))
    }

    /// Whether the connection broke, which a read behind the orderly end of the other side doesn't
    /// report.
    pub(super) fn has_error(&self) -> bool {
        !matches!(self.stream.take_error(), Ok(None))
    }
}

struct Idle {
    connection: Connection,
    /// The incarnation that it was opened to.
    upstream: Registration,
    since: Instant,
    limit: Duration,
}

/// Idle connections by upstream.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<UpstreamId, Vec<Idle>>>,
}

impl Pool {
    /// Returns a connection to an upstream: one that was idle for less than `max_idle`, or a new
    /// one.
    ///
    /// # Errors
    ///
    /// Fails if a connection can't be opened within `timeout`.
    pub async fn take(
        &self,
        upstream: &Registration,
        now: Instant,
        max_idle: Duration,
        timeout: Duration,
    ) -> io::Result<Connection> {
        if let Some(it) = self.take_idle(upstream, now, max_idle) {
            return Ok(it);
        }
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(upstream.address));
        let stream = connecting.await.map_err(|_elapsed| io::ErrorKind::TimedOut)??;
        socket::prepare(&stream, socket::SERVER_TIMEOUT)?;
        Ok(Connection { stream, buffer: BytesMut::new(), search: http::Search::default() })
    }

    /// Stores a connection, if there is one, for reuse, unless `max_count` are stored already.
    /// `limit` is the time for which the upstream keeps it open, if known.
    pub fn put(
        &self,
        upstream: &Registration,
        now: Instant,
        connection: Option<Connection>,
        limit: Option<Duration>,
        max_count: usize,
    ) {
        let Some(connection) = connection else { return };
        let limit = limit.map_or(MAX_IDLE_TIME, |it| it.mul_f64(0.8).min(MAX_IDLE_TIME));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(upstream.id.clone()).or_default();
        if connections.len() < max_count {
            connections.push(Idle { connection, upstream: upstream.clone(), since: now, limit });
        }
    }

    /// Closes the idle connections to an upstream.
    pub fn remove(&self, id: &str) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes connections that were idle for too long or that the upstream has closed.
    pub fn sweep(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections
                .retain(|it| now.duration_since(it.since) < it.limit && is_usable(&it.connection));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take_idle(
        &self,
        upstream: &Registration,
        now: Instant,
        max_idle: Duration,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&upstream.id)?;
        // A request that was in progress when the upstream was replaced under its id has returned its
        // connection behind that.
        connections.retain(|it| it.upstream.is_same_incarnation(upstream));
        // The newest connection is the least likely to have been closed.
        while let Some(it) = connections.pop() {
            let age = now.saturating_duration_since(it.since);
            if age < it.limit.min(max_idle) && is_usable(&it.connection) {
                return Some(it.connection);
            }
            if age >= max_idle && age < it.limit {
                connections.push(it);
                return None;
            }
        }
        None
    }
}

/// Whether the upstream has neither closed the connection nor sent unexpected bytes.
fn is_usable(connection: &Connection) -> bool {
    let mut byte = [0];
    match connection.stream.try_read(&mut byte) {
        Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}

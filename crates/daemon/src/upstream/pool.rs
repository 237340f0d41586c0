//! Idle connections to one backend server.

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::upstream::connection::{Connection, Result};

/// Idle time after which a connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Idle time up to which a connection may carry a non-idempotent request. The longer a connection
/// is idle, the likelier the backend server closes it while the request is written, which leaves
/// the outcome unknown.
const FRESH_LIMIT: Duration = Duration::from_secs(1);

/// Which idle connections may carry a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// Any connection that is still open.
    Idle,
    /// Only a connection that became idle less than `FRESH_LIMIT` ago.
    Fresh,
}

/// Idle connections to one backend server.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle_limit: usize,
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    /// Creates a pool that keeps at most `idle_limit` idle connections.
    #[must_use]
    pub fn new(address: SocketAddr, idle_limit: usize) -> Self {
        Self { address, idle_limit, idle: Mutex::default() }
    }

    /// Returns the address that the connections go to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection or opens one.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened; nothing was sent.
    pub async fn take(&self, reuse: Reuse, now: Instant) -> Result<Connection> {
        while let Some(mut it) = self.pop(reuse, now) {
            if it.ready().await {
                return Ok(it);
            }
        }
        let mut res = Connection::open(self.address, now).await?;
        res.ready().await;
        Ok(res)
    }

    /// Returns a connection whose answer was read to its end.
    pub fn put(&self, mut connection: Connection, now: Instant) {
        if !connection.is_open() {
            return;
        }
        connection.idle_since = now;
        let Ok(mut idle) = self.idle.lock() else { return };
        if idle.len() < self.idle_limit {
            idle.push(connection);
        }
    }

    /// Takes the most recently used connection if it may carry the request; closes those that are
    /// idle for too long.
    fn pop(&self, reuse: Reuse, now: Instant) -> Option<Connection> {
        let limit = match reuse {
            Reuse::Idle => IDLE_LIMIT,
            Reuse::Fresh => FRESH_LIMIT,
        };
        let mut idle = self.idle.lock().ok()?;
        idle.retain(|it| it.is_open() && now.duration_since(it.idle_since) < IDLE_LIMIT);
        let newest = idle.last()?;
        if now.duration_since(newest.idle_since) >= limit {
            return None;
        }
        idle.pop()
    }
}

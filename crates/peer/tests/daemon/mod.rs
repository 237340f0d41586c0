//! A peer with fixed answers.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use member::{Digest, Exchange, Identity, Phase};
use peer::{Blob, Client, Handler, Server, Settings, StartError};
use tokio::runtime::Handle;

pub(crate) const TOKEN: &str = "a secret of the fleet";
/// Offset up to which the peer has a configuration.
pub(crate) const END: u64 = 40;

#[derive(Default)]
pub(crate) struct Daemon {
    pub(crate) snapshot: Bytes,
    pub(crate) started: AtomicU64,
    pub(crate) finished: AtomicU64,
}

#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Order {
    pub(crate) key: String,
    pub(crate) body: Blob,
    pub(crate) work_ms: u64,
}

impl Handler for Daemon {
    type Order = Order;
    type Outcome = Order;

    fn heartbeat(&self, exchange: &Exchange) -> member::Result<Exchange> {
        exchange.check()?;
        Ok(self::exchange(2))
    }

    fn configuration(&self, newer_than: u64) -> Option<Bytes> {
        (newer_than < END).then(|| self.snapshot.clone())
    }

    async fn forward(&self, order: Order) -> Order {
        self.started.fetch_add(1, Ordering::AcqRel);
        tokio::time::sleep(Duration::from_millis(order.work_ms)).await;
        self.finished.fetch_add(1, Ordering::AcqRel);
        order
    }
}

pub(crate) fn exchange(incarnation: u64) -> Exchange {
    let identity = Identity {
        address: SocketAddr::from(([10, 0, 0, 1], 7000)),
        entry: SocketAddr::from(([10, 0, 0, 1], 80)),
        admin: SocketAddr::from(([10, 0, 0, 1], 9000)),
        domain: "domain-1".into(),
        incarnation,
    };
    let digest = Digest { identity, phase: Phase::Ready, sequence: 3, version: 9 };
    Exchange { digest, loads: Vec::new(), rumors: Vec::new(), marks: Vec::new() }
}

pub(crate) fn start(daemon: Daemon, settings: Settings) -> (Server, Arc<Daemon>) {
    let daemon = Arc::new(daemon);
    let server = listen(TOKEN, settings, Arc::clone(&daemon)).unwrap();
    (server, daemon)
}

pub(crate) fn listen(
    token: &str,
    settings: Settings,
    daemon: Arc<Daemon>,
) -> Result<Server, StartError> {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    socket.set_nonblocking(true).unwrap();
    Server::start(&Handle::current(), socket, token.to_owned(), settings, daemon)
}

pub(crate) fn client() -> Client {
    Client::new(TOKEN.to_owned(), Settings::default())
}

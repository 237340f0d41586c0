//! Purposes of the listening sockets.

use std::{rc::Rc, time::Instant};

use crate::{
    config::Table,
    directory,
    gateway::Gateway,
    http::Message,
    peer::Phase,
    request::{self, Refusal, Reply},
};

/// Purpose of a listening socket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Port {
    /// Requests of callers.
    Callers,
    /// Readiness check.
    Ready,
    /// Directory of entry hosts.
    Directory,
    /// Metrics.
    Metrics,
}

impl Port {
    /// Maximum number of connections to the socket, of `limit` descriptors. A quarter remains for
    /// upstreams, peers and the store.
    pub(super) fn connection_limit(self, limit: usize) -> usize {
        match self {
            Self::Callers => limit / 2,
            Self::Directory => limit / 8,
            Self::Ready | Self::Metrics => limit / 16,
        }
    }

    /// Answers a request received on this port. `table_before` is the configuration that was in force
    /// when its first bytes arrived.
    pub(super) async fn answer(
        self,
        gateway: Rc<Gateway>,
        message: Message,
        received: Instant,
        table_before: Option<Rc<Table>>,
    ) -> Reply {
        let names = gateway.protocol.names;
        let target = message.head.target.clone();
        let path = target.split(|it| *it == b'?').next().unwrap_or_default();
        match self {
            Self::Callers => request::answer(gateway, message, received, table_before).await,
            Self::Ready if path == names.ready_path.as_bytes() => ready(&gateway),
            Self::Directory if path == names.directory_path.as_bytes() => {
                directory::answer(&gateway, &target)
            }
            Self::Metrics if path == b"/metrics" => {
                gateway.metrics.set_memory(gateway.memory.account());
                Reply::text(200, "text/plain; version=0.0.4", gateway.metrics.text())
            }
            _ => Reply::refuse(Refusal::no_route(), None),
        }
    }
}

fn ready(gateway: &Gateway) -> Reply {
    match gateway.phase.get() {
        Phase::Ready => Reply::text(200, "text/plain", "ready\n".to_owned()),
        Phase::Starting => Reply::refuse(Refusal::not_ready(), None),
        Phase::Leaving => {
            let message = "this entry host is leaving".to_owned();
            let retry_after = std::time::Duration::from_secs(1);
            Reply::refuse(Refusal::not_run("leaving", message, retry_after), None)
        }
    }
}

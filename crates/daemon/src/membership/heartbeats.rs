//! Sends heartbeats to peers and fetches configurations from them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use member::Heartbeat;
use tokio::runtime::Handle;

use crate::{configuration::Source, membership::Membership, state::State};

/// Interval at which due heartbeats are sent.
const INTERVAL: Duration = Duration::from_millis(100);

/// Sends heartbeats to peers and fetches configurations from them.
#[derive(Clone)]
pub struct Heartbeats {
    state: Arc<State>,
    membership: Arc<Membership>,
    client: Arc<peer::Client>,
    runtime: Handle,
}

impl Heartbeats {
    /// Creates a sender of heartbeats that runs on `runtime`.
    #[must_use]
    pub fn new(
        state: Arc<State>,
        membership: Arc<Membership>,
        client: Arc<peer::Client>,
        runtime: Handle,
    ) -> Self {
        Self { state, membership, client, runtime }
    }

    /// Sends heartbeats until the runtime ends.
    pub async fn run(self) {
        let mut interval = tokio::time::interval(INTERVAL);
        loop {
            interval.tick().await;
            self.publish_loads();
            self.membership.table().set_reported_servers(self.state.reported_leaving());
            let due = self.membership.table().tick(self.state.clock.now());
            self.send(due);
            self.state.set_hosts(self.membership.hosts());
            let leaving = self.membership.table().leaving_servers(self.state.clock.now());
            self.state.set_leaving_upstreams(leaving);
        }
    }

    /// Waits for a request to leave, then removes the daemon from the directions and notifies the
    /// peers.
    pub async fn leave_on_request(self) {
        let mut leave = self.state.leave.subscribe();
        let _requested = leave.wait_for(|it| *it).await;
        log::info!("leaving: serving callers until the directions have expired");
        let heartbeats = self.membership.leave();
        self.send(heartbeats);
    }

    /// Sends heartbeats without waiting for their answers.
    pub fn send(&self, heartbeats: Vec<Heartbeat>) {
        for it in heartbeats {
            let this = self.clone();
            self.runtime.spawn(async move { this.exchange(it).await });
        }
    }

    async fn exchange(&self, heartbeat: Heartbeat) {
        let peer = heartbeat.to;
        let answer = self.client.heartbeat(peer, &heartbeat.exchange).await;
        let mut table = self.membership.table();
        match answer {
            Ok(it) => {
                if let Err(e) = table.answered(peer, it, self.state.clock.now()) {
                    log::warn!("heartbeat answer of peer {peer} refused: {e}");
                }
            }
            Err(e) => {
                log::debug!("heartbeat to peer {peer} failed: {e}");
                table.unanswered(peer);
            }
        }
    }

    fn publish_loads(&self) {
        let loads = self.state.loads();
        self.membership.table().set_loads(loads);
    }
}

impl Source for Heartbeats {
    fn newer_than(&self, end: document::Offset) -> Option<Bytes> {
        let peer: SocketAddr = self.membership.newest_peer()?;
        match self.runtime.block_on(self.client.configuration(peer, end)) {
            Ok(it) => it,
            Err(e) => {
                log::warn!("configuration not fetched from peer {peer}: {e}");
                None
            }
        }
    }
}

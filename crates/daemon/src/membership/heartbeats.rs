//! Carries heartbeats to peers and fetches configurations from them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use member::Heartbeat;
use tokio::runtime::Handle;

use crate::{configuration::Source, membership::Membership, state::State};

/// Time between two looks at what is due.
const INTERVAL: Duration = Duration::from_millis(100);

/// Carries heartbeats to peers and fetches configurations from them.
#[derive(Clone)]
pub struct Heartbeats {
    state: Arc<State>,
    membership: Arc<Membership>,
    client: Arc<peer::Client>,
    runtime: Handle,
}

impl Heartbeats {
    /// Heartbeats that are sent on `runtime`.
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
            self.tell_loads();
            self.membership.table().set_reported_servers(self.state.said_to_leave());
            let due = self.membership.table().tick(self.state.clock.now());
            self.send(due);
            self.state.set_hosts(self.membership.hosts());
            let leaving = self.membership.table().leaving_servers(self.state.clock.now());
            self.state.mark_upstreams(leaving);
        }
    }

    /// Leaves the directions as soon as the daemon is told to leave, and tells peers at once.
    pub async fn leave_when_told(self) {
        let mut leave = self.state.leave.subscribe();
        let _told = leave.wait_for(|it| *it).await;
        log::info!("leaving: out of the directions, serving until these have expired");
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
                    log::warn!("peer {peer}: {e}");
                }
            }
            Err(e) => {
                log::debug!("peer {peer}: {e}");
                table.unanswered(peer);
            }
        }
    }

    fn tell_loads(&self) {
        let loads = self.state.loads();
        self.membership.table().set_loads(loads);
    }
}

impl Source for Heartbeats {
    fn newer_than(&self, end: document::Offset) -> Option<Bytes> {
        let peer: SocketAddr = self.membership.newer()?;
        match self.runtime.block_on(self.client.configuration(peer, end)) {
            Ok(it) => it,
            Err(e) => {
                log::warn!("configuration from peer {peer}: {e}");
                None
            }
        }
    }
}

//! Asks peers which configuration is the newest.

use std::{rc::Rc, time::Duration};

use super::Mesh;
use crate::{config::Knowledge, peer::Packet};

/// Time for which peers may answer a query about the newest configuration before the store is read.
const CONFIG_REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of peers that are asked: in a large fleet as many read the store.
const MAX_ASKED_PEERS: usize = 3;
/// Pause between two confirmations, which bounds the calls that requests cause.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(50);

impl Mesh {
    /// Finds out which configuration is the newest whenever that is wanted, until the task is dropped.
    pub async fn confirm_config(self: Rc<Self>) {
        loop {
            self.gateway.confirmation_wanted.notified().await;
            if self.gateway.knowledge() == Knowledge::Outdated {
                let asking = tokio::time::timeout(CONFIG_REPLY_TIMEOUT, self.ask_peers());
                let _elapsed = asking.await;
            }
            if self.gateway.knowledge().is_unsure() {
                self.gateway.config_read_wanted.notify_one();
            }
            tokio::time::sleep(CONFIRMATION_INTERVAL).await;
        }
    }

    /// Asks the peers that last read the store about the newest configuration, and waits until one of
    /// them confirms it.
    async fn ask_peers(&self) {
        let gateway = &self.gateway;
        let peers = gateway.peers.borrow().last_readers(gateway.now(), MAX_ASKED_PEERS);
        if peers.is_empty() {
            return;
        }
        let query = gateway.begin_config_query();
        self.send_all(&peers, &Packet::ConfigQuery(query));
        loop {
            let changed = gateway.knowledge_changed.notified();
            if gateway.knowledge() != Knowledge::Outdated {
                return;
            }
            changed.await;
        }
    }
}

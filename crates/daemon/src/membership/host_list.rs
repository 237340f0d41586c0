//! Follows the platform's host list.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use member::Listing;
use platform::{Backoff, Entry, Hosts, State as HostState};

use crate::state::State;

/// Interval at which the list is read.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum backoff after failed reads.
const BACKOFF_LIMIT: Duration = Duration::from_secs(5);

/// Follows the platform's host list, which identifies entry hosts by their peer addresses and
/// backend servers by their request addresses. The entry hosts of a fleet share one peer port,
/// which distinguishes them from servers that are not in the document.
pub struct HostList {
    state: Arc<State>,
    hosts: Box<dyn Hosts>,
    backoff: Backoff,
}

impl HostList {
    /// Creates a follower of a list that was not read yet.
    #[must_use]
    pub fn new(state: Arc<State>, hosts: Box<dyn Hosts>) -> Self {
        let rng = fastrand::Rng::with_seed(state.ids.incarnation());
        Self { state, hosts, backoff: Backoff::new(POLL_INTERVAL, BACKOFF_LIMIT, rng) }
    }

    /// Follows the list until `stop` is set.
    pub fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            let wait = self.step();
            thread::sleep(wait);
        }
    }

    fn step(&mut self) -> Duration {
        match self.hosts.list() {
            Ok(list) => {
                self.backoff.succeeded();
                self.apply(&list);
                POLL_INTERVAL
            }
            Err(e) => {
                log::warn!("the host list can't be read: {e}");
                self.backoff.failed()
            }
        }
    }

    fn apply(&self, list: &[Entry]) {
        let table = self.state.table();
        if table.version.is_none() {
            // Without a document, backend servers can't be distinguished from entry hosts.
            return;
        }
        let upstreams: BTreeSet<SocketAddr> =
            table.document.upstreams.iter().map(|it| it.address).collect();
        let (servers, hosts): (Vec<Entry>, Vec<Entry>) =
            list.iter().partition(|it| upstreams.contains(&it.address));
        let leaving = |it: &&Entry| it.state == HostState::Leaving;
        let marked = servers.iter().filter(leaving).map(|it| it.address).collect();
        self.state.set_listed_servers(marked);
        let Some(membership) = self.state.membership() else { return };
        let listings: Vec<_> = hosts
            .iter()
            .filter(|it| membership.may_be_entry_host(it.address))
            .map(|it| Listing { address: it.address, leaving: it.state == HostState::Leaving })
            .collect();
        self.state.apply_host_list(&listings);
    }
}

//! Backend servers that are leaving, as known to this host and its peers.
//!
//! Each reader of the platform's host list sees updates with a different delay. So hosts share the
//! marks that they read, and which servers reported to them that they are leaving. They forward
//! only such first-hand marks and none received from peers, so that a mark disappears everywhere
//! soon after it was removed at its source.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::exchange::MARK_LIMIT;

/// Time after which a peer's mark expires unless a peer repeats it.
const PEER_MARK_TTL: Duration = Duration::from_secs(5);

/// Backend servers that are leaving, by source.
#[derive(Debug, Default)]
pub(super) struct Marks {
    listed: BTreeSet<SocketAddr>,
    reported: BTreeSet<SocketAddr>,
    from_peers: BTreeMap<SocketAddr, Instant>,
}

impl Marks {
    /// Sets the servers that the host list marks as leaving.
    pub(super) fn set_listed(&mut self, listed: BTreeSet<SocketAddr>) {
        self.listed = listed;
    }

    /// Sets the servers that have reported that they are leaving.
    pub(super) fn set_reported(&mut self, reported: BTreeSet<SocketAddr>) {
        self.reported = reported;
    }

    /// Adds a peer's first-hand marks.
    pub(super) fn add_from_peer(&mut self, marks: &[SocketAddr], now: Instant) {
        for it in marks {
            self.from_peers.insert(*it, now);
        }
    }

    /// First-hand marks to send to peers.
    pub(super) fn first_hand(&self) -> Vec<SocketAddr> {
        self.listed.union(&self.reported).take(MARK_LIMIT).copied().collect()
    }

    /// All servers that are leaving at `now`.
    pub(super) fn all(&mut self, now: Instant) -> BTreeSet<SocketAddr> {
        self.from_peers.retain(|_, at| now.saturating_duration_since(*at) < PEER_MARK_TTL);
        let first_hand = self.listed.union(&self.reported);
        first_hand.chain(self.from_peers.keys()).copied().collect()
    }
}

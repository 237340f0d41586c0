//! Follows the registrations of upstreams.
//!
//! The registry changes at every heartbeat of every upstream, so it is read at intervals and by few
//! daemons. A daemon that has read it relays the changes to its peers, which then postpone their
//! own reads. The first daemon in the order of [`crate::peer::Table::position`] reads; the next one
//! takes over if it does not.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::{Availability, CALL_TIMEOUT, call};
use crate::{
    gateway::Gateway,
    mesh::Mesh,
    peer::Relay,
    platform::{Batch, Error, Platform, Record, Topic},
    registry::{Change, UpstreamId},
    rpc,
};

/// Reads within the time in which requests to a leaving upstream must stop.
const READS_PER_DRAIN_TIME: u32 = 3;
/// Additional interval per position in the order, after which the next daemon reads in place of one
/// that has not.
const STAGGER: Duration = Duration::from_millis(150);
/// Number of daemons that take over one after another; all others follow at random within the same
/// time again.
const STAGGERED_READERS: u32 = 4;
/// Pause after a failed call, for the first daemon in the order. The others wait for its relays and
/// retry less often.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause after a failed call, as a multiple of that of the first daemon.
const MAX_PAUSE_FACTOR: u32 = 10;

/// Maximum number of log lines per second about records that can't be decoded.
const IGNORED_LINES_PER_S: u32 = 5;

/// Mean interval at which a daemon that starts looks for the registry at its peers.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Follows the registrations of upstreams.
pub struct Follower<P> {
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    mesh: Rc<Mesh>,
    shared: rpc::Shared,
    availability: Availability,
    next_read: Instant,
}

impl<P: Platform> Follower<P> {
    /// Creates a follower that has read nothing yet.
    #[must_use]
    pub fn new(gateway: Rc<Gateway>, platform: Rc<P>, mesh: Rc<Mesh>, shared: rpc::Shared) -> Self {
        let next_read = gateway.store_from();
        Self { gateway, platform, mesh, shared, availability: Availability::default(), next_read }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        let gateway = Rc::clone(&self.gateway);
        loop {
            tokio::select! {
                biased;
                () = gateway.registry_wanted.notified() => self.read().await,
                () = gateway.registry_relayed.notified() => {
                    self.next_read = gateway.now() + self.interval();
                    self.update_shared();
                }
                () = tokio::time::sleep_until(self.next_read.into()) => self.read().await,
                () = peer_check(), if self.lacks_registry() => self.read_from_peer().await,
            }
        }
    }

    /// Whether peers are expected to have the registry that this daemon lacks.
    fn lacks_registry(&self) -> bool {
        self.gateway.waits_for_peers() && self.gateway.registry.borrow().end() == 0
    }

    fn interval(&self) -> Duration {
        let position = self.gateway.peers.borrow().position(self.gateway.now());
        let interval = self.gateway.settings().drain / READS_PER_DRAIN_TIME;
        if position < STAGGERED_READERS {
            return interval + STAGGER * position;
        }
        // Randomized so that not all read at the same time: the first one relays to the others.
        interval + STAGGER.mul_f64(f64::from(STAGGERED_READERS) + 2.0 * fastrand::f64())
    }

    async fn read(&mut self) {
        let gateway = Rc::clone(&self.gateway);
        if gateway.waits_for_peers() {
            self.next_read = gateway.now() + self.interval();
            self.read_from_peer().await;
            return;
        }
        let from = gateway.registry.borrow().end();
        let res = if from == 0 {
            let newest = self.platform.newest(Topic::Upstreams);
            call(&gateway, "upstreams-newest", CALL_TIMEOUT, newest).await
        } else {
            let read = self.platform.read(Topic::Upstreams, from, Duration::ZERO);
            call(&gateway, "upstreams-read", CALL_TIMEOUT, read).await
        };
        let now = gateway.now();
        self.availability.update(now, "upstreams", &res);
        match res {
            Ok(batch) => {
                gateway.registry.borrow_mut().store_answered(now);
                let to = batch.end;
                let changes =
                    if from == 0 { self.replace_all(&batch) } else { self.apply_records(&batch) };
                gateway.mark_registry_read();
                if from > 0 && gateway.registry.borrow().trusts_removals() {
                    self.mesh.relay(Relay { from, to, changes });
                }
                self.next_read = now + self.interval();
            }
            Err(Error::Deleted { .. }) => {
                gateway.registry.borrow_mut().restart_read();
                self.next_read = now;
            }
            Err(_) => {
                gateway.registry.borrow_mut().store_failed();
                if gateway.registry.borrow().end() == 0 {
                    self.read_from_peer().await;
                }
                let position = gateway.peers.borrow().position(now);
                let pause = FAILURE_PAUSE * (position + 1).min(MAX_PAUSE_FACTOR);
                self.next_read = now + pause.mul_f64(0.75 + fastrand::f64() / 2.0);
            }
        }
        self.update_shared();
    }

    /// Replaces the registry by the newest record of each upstream.
    fn replace_all(&self, batch: &Batch) -> Vec<Change> {
        let decode = |it: &Record| match self.decode(it) {
            Change::Put(it) => Some(it),
            Change::Removed(_) => None,
        };
        let registrations = batch.records.iter().filter_map(decode).collect();
        let now = self.gateway.now();
        let changes = self.gateway.registry.borrow_mut().replace(now, registrations, batch.end);
        for it in &changes {
            self.gateway.apply(it, "store");
        }
        changes
    }

    /// Applies the records written since the last read.
    fn apply_records(&self, batch: &Batch) -> Vec<Change> {
        let now = self.gateway.now();
        let mut res = Vec::new();
        for it in &batch.records {
            let change = self.decode(it);
            res.extend(self.gateway.registry.borrow_mut().apply(now, change));
        }
        res.extend(self.gateway.registry.borrow_mut().tick(now));
        self.gateway.registry.borrow_mut().advance(batch.end);
        for it in &res {
            self.gateway.apply(it, "store");
        }
        res
    }

    /// Decodes the change of a record. One that can't be decoded names no upstream, like a removed
    /// one.
    fn decode(&self, record: &Record) -> Change {
        let removed = || Change::Removed(UpstreamId::from(&*record.key));
        let Some(value) = &record.value else { return removed() };
        match self.platform.registration(&record.key, value) {
            Ok(it) => Change::Put(it),
            Err(e) => {
                let (key, error) = (ini::excerpt(&record.key), ini::excerpt(&e));
                let mut limiter = self.gateway.log_limiter.borrow_mut();
                if limiter.allows(self.gateway.now(), "record-ignored", IGNORED_LINES_PER_S) {
                    log::warn!(target: "belief", "event=record-ignored key={key:?} error={error:?}");
                }
                removed()
            }
        }
    }

    async fn read_from_peer(&mut self) {
        let Some((snapshot, from)) = rpc::fetch_registry(&self.gateway).await else { return };
        let now = self.gateway.now();
        let changes =
            self.gateway.registry.borrow_mut().replace(now, snapshot.registrations, snapshot.end);
        let source = format!("peer:{from}");
        for it in &changes {
            self.gateway.apply(it, &source);
        }
        self.gateway.mark_registry_read();
        self.next_read = now + self.interval();
        self.update_shared();
    }

    /// Updates the registry served to peers that can't read the store.
    fn update_shared(&self) {
        let registry = self.gateway.registry.borrow();
        self.shared.set_registry(registry.end(), registry.digest(), || {
            registry.entries().cloned().collect()
        });
    }
}

/// Waits until a daemon without a registry should look for one at its peers. Randomized, so that a
/// fleet that starts doesn't ask the first peers that have it all at once.
async fn peer_check() {
    tokio::time::sleep(PEER_CHECK_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
}

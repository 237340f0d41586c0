//! Follows the registrations of upstreams.
//!
//! The registry changes at every heartbeat of every upstream, so it is read at intervals and by few
//! daemons. A daemon that has read it relays the changes to its peers, which then postpone their
//! own reads. The first daemon in the order of [`crate::peer::Table::position`] reads; the next one
//! takes over if it does not.

use std::{
    rc::Rc,
    time::{Duration, Instant, SystemTime},
};

use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};

use super::{Availability, CALL_TIMEOUT, call};
use crate::{
    gateway::Gateway,
    mesh::Mesh,
    peer::Relay,
    platform::{Batch, Era, Error, Offset, Platform, Record, Result, Topic},
    registry::{Change, Registration, Removal, Revision, UpstreamId},
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
/// Longest time from the start of an unanswered read to the next one, for the first daemon in the
/// order. The next read doesn't wait for the timeout, so that the return of the store is noticed
/// long before machines count as in touch again (`stability_ms`, 3 s).
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Longest interval of reads without an answer, as a multiple of that of the first daemon. The
/// others wait for its relays.
const MAX_RETRY_FACTOR: u32 = 10;
/// Maximum number of reads in progress.
const MAX_READS: usize = 6;
/// Time after which what is read once removals are applied again is relayed a second time, as a
/// datagram may be lost.
const RELAY_REPEAT_TIME: Duration = Duration::from_millis(100);

/// Largest difference between the clock of an upstream and that of this host: clocks jump by seconds.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_hours(1);

/// 2026-01-01 in Unix time, before which this program did not exist: an earlier clock has not been set.
const FIRST_TIME: Duration = Duration::from_hours(490_896);

/// Maximum number of log lines per second about records that can't be decoded.
const IGNORED_LINES_PER_S: u32 = 5;

/// Mean interval at which a daemon that starts looks for the registry at its peers.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// A read that has ended.
struct Read {
    /// Era of the store in which `from` holds.
    era: Era,
    /// Offset; 0 if the newest records were read.
    from: Offset,
    res: Result<Batch>,
}

/// Follows the registrations of upstreams.
pub struct Follower<P> {
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    mesh: Rc<Mesh>,
    shared: rpc::Shared,
    availability: Availability,
    next_read: Instant,
    reads: FuturesUnordered<LocalBoxFuture<'static, Read>>,
}

impl<P: Platform> Follower<P> {
    /// Creates a follower that has read nothing yet.
    #[must_use]
    pub fn new(gateway: Rc<Gateway>, platform: Rc<P>, mesh: Rc<Mesh>, shared: rpc::Shared) -> Self {
        let next_read = gateway.store_from();
        let (availability, reads) = (Availability::default(), FuturesUnordered::new());
        Self { gateway, platform, mesh, shared, availability, next_read, reads }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        let gateway = Rc::clone(&self.gateway);
        loop {
            tokio::select! {
                biased;
                () = gateway.registry_relayed.notified() => {
                    // The store answers a peer: that earlier reads fail says nothing any more.
                    self.reads.clear();
                    self.schedule();
                    self.update_shared();
                }
                Some(it) = self.reads.next(), if !self.reads.is_empty() => self.end_read(it).await,
                () = gateway.registry_wanted.notified() => self.start_read().await,
                () = gateway.registry_differs.notified() => self.merge_peer().await,
                () = tokio::time::sleep_until(self.next_read.into()) => self.start_read().await,
                () = peer_check(), if self.lacks_registry() => self.read_from_peer().await,
            }
        }
    }

    /// Whether peers are expected to have the registry that this daemon lacks.
    fn lacks_registry(&self) -> bool {
        self.gateway.waits_for_peers() && self.gateway.registry.borrow().end() == 0
    }

    /// Schedules the next read: at the usual interval, or as soon as pending removals take effect.
    fn schedule(&mut self) {
        let now = self.gateway.now();
        let stagger = self.stagger();
        let interval = self.gateway.settings().drain / READS_PER_DRAIN_TIME;
        let due = self.gateway.registry.borrow().removals_due();
        let start = due.map_or(now + interval, |it| it.max(now).min(now + interval));
        self.next_read = start + stagger;
    }

    /// Time by which this daemon reads later than the first one.
    fn stagger(&self) -> Duration {
        let position = self.gateway.peers.borrow().position(self.gateway.now());
        if position < STAGGERED_READERS {
            return STAGGER * position;
        }
        // Randomized so that not all read at the same time: the first one relays to the others.
        STAGGER.mul_f64(f64::from(STAGGERED_READERS) + 2.0 * fastrand::f64())
    }

    /// Time until the next read if this one is not answered.
    fn retry_interval(&self) -> Duration {
        let position = self.gateway.peers.borrow().position(self.gateway.now());
        let longest = RETRY_INTERVAL * (position + 1).min(MAX_RETRY_FACTOR);
        longest.mul_f64(0.75 + fastrand::f64() / 4.0)
    }

    /// Starts a read beside those that are still unanswered.
    async fn start_read(&mut self) {
        let gateway = Rc::clone(&self.gateway);
        if gateway.waits_for_peers() {
            self.schedule();
            self.read_from_peer().await;
            return;
        }
        if self.has_later_peer() {
            // The peer has read the newest records, which need not be read from the store once more.
            self.read_from_peer().await;
        }
        self.next_read = gateway.now() + self.retry_interval();
        let (era, from) = {
            let registry = gateway.registry.borrow();
            (registry.era(), registry.end())
        };
        // A read of the whole registry takes several calls, so there is only one at a time.
        let limit = if from == 0 { 1 } else { MAX_READS };
        if self.reads.len() >= limit {
            return;
        }
        let platform = Rc::clone(&self.platform);
        self.reads.push(Box::pin(async move {
            let res = if from == 0 {
                let newest = platform.newest(Topic::Upstreams);
                call(&gateway, "upstreams-newest", CALL_TIMEOUT, newest).await
            } else {
                let read = platform.read(Topic::Upstreams, from, Duration::ZERO);
                call(&gateway, "upstreams-read", CALL_TIMEOUT, read).await
            };
            Read { era, from, res }
        }));
    }

    async fn end_read(&mut self, read: Read) {
        let gateway = Rc::clone(&self.gateway);
        let now = gateway.now();
        self.availability.update(now, "upstreams", &read.res);
        match read.res {
            Ok(batch) => {
                // Earlier reads without an answer say nothing about the store any more.
                self.reads.clear();
                gateway.registry.borrow_mut().store_answered(now);
                let known = gateway.registry.borrow().era();
                if read.from > 0 && (read.era != known || batch.era != known) {
                    self.discard(batch.era > known);
                    return;
                }
                let trusted_before = gateway.registry.borrow().trusts_removals();
                if read.from == 0 {
                    self.replace_all(&batch);
                } else {
                    self.apply_records(read.from, &batch);
                }
                gateway.mark_registry_read();
                self.schedule();
                if !trusted_before && gateway.registry.borrow().trusts_removals() {
                    self.next_read = now + RELAY_REPEAT_TIME;
                }
            }
            Err(Error::Deleted { .. }) => {
                self.reads.clear();
                gateway.registry.borrow_mut().restart_read();
                self.next_read = now;
            }
            Err(_) => {
                gateway.registry.borrow_mut().store_failed();
                if gateway.registry.borrow().end() == 0 || self.has_later_peer() {
                    self.read_from_peer().await;
                }
            }
        }
        self.update_shared();
    }

    /// Discards what was read because its offsets hold in another era of the store. If the store
    /// `is_later` than what is known, the newest records are read immediately.
    fn discard(&mut self, is_later: bool) {
        self.schedule();
        if is_later {
            self.gateway.registry.borrow_mut().restart_read();
            self.next_read = self.gateway.now();
        }
    }

    /// Whether a peer has read the registry in a later era of the store.
    fn has_later_peer(&self) -> bool {
        let era = self.gateway.registry.borrow().era();
        let peers = self.gateway.peers.borrow();
        peers.live_peers(self.gateway.now()).any(|(_, it)| it.heartbeat.registry_era > era)
    }

    /// Replaces the registry by the newest record of each upstream.
    fn replace_all(&self, batch: &Batch) {
        let decode = |it: &Record| match self.decode(it) {
            Change::Put(it) => Some(it),
            Change::Removed(_) => None,
        };
        let registrations = batch.records.iter().filter_map(decode).collect();
        self.replace(registrations, Vec::new(), batch.era, batch.end, "store");
    }

    fn replace(
        &self,
        registrations: Vec<Registration>,
        removals: Vec<Removal>,
        era: Era,
        end: Offset,
        source: &str,
    ) {
        let gateway = &self.gateway;
        let before = gateway.registry.borrow().era();
        let now = gateway.now();
        let changes = gateway.registry.borrow_mut().adopt(now, registrations, removals, era, end);
        if era > before {
            log::info!(
                target: "belief",
                "event=store-era what=upstreams era={era} before={before} source={source}"
            );
            // Peers then read the registry from this daemon and not from the store.
            gateway.heartbeat_wanted.notify_one();
        }
        self.apply_all(&changes, source);
    }

    /// Applies and relays the records from offset `from` on, but for those that a relay has brought
    /// meanwhile.
    fn apply_records(&self, from: Offset, batch: &Batch) {
        let gateway = &self.gateway;
        let now = gateway.now();
        let known = gateway.registry.borrow().end();
        // The relay covers only what was read here, so that a peer that has missed the other one
        // sees the gap.
        let (from, to) = (from.max(known), batch.end.max(from).max(known));
        let mut relayed = Vec::new();
        for it in batch.records.iter().filter(|it| it.offset >= known) {
            let change = self.decode(it);
            let mut registry = gateway.registry.borrow_mut();
            let change = registry.complete(change);
            if registry.is_outdated(&change) {
                let mut limiter = gateway.log_limiter.borrow_mut();
                if limiter.allows(now, "late-write-ignored", IGNORED_LINES_PER_S) {
                    let key = ini::excerpt(&it.key);
                    log::info!(target: "belief", "event=late-write-ignored upstream={key:?}");
                }
                continue;
            }
            // Peers must follow each change of what is pending as well, and may use what is held back.
            let was_pending = registry.is_removal_pending(&it.key);
            let was_held_back = registry.is_held_back(&it.key);
            let effect = registry.apply(now, change.clone());
            let is_pending = registry.is_removal_pending(&it.key);
            drop(registry);
            if is_pending && !was_pending {
                log::info!(target: "belief", "event=removal-pending upstream={}", it.key);
            }
            if effect.is_some() || was_pending || is_pending || was_held_back {
                relayed.push((it.offset, change));
            }
            if let Some(it) = effect {
                gateway.apply(&it, "store");
            }
        }
        let removals = gateway.registry.borrow_mut().tick(now);
        for it in removals {
            gateway.apply(&it, "store");
            relayed.push((to, it));
        }
        gateway.registry.borrow_mut().advance(to);
        let is_trusted = gateway.registry.borrow().trusts_removals();
        self.mesh.relay(Relay { era: batch.era, from, to, is_trusted, changes: relayed });
    }

    /// Decodes the change of a record. One that can't be decoded names no upstream, like a removed
    /// one.
    fn decode(&self, record: &Record) -> Change {
        let removed = || {
            let id = UpstreamId::from(&*record.key);
            Change::Removed(Removal { id, revision: Revision::default() })
        };
        let Some(value) = &record.value else { return removed() };
        let registration = self.platform.registration(&record.key, value);
        match registration.and_then(|it| self.check_start(it)) {
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

    /// Checks that an upstream has started: the time of a start in the future would hide all that the
    /// upstream writes from then on.
    fn check_start(&self, it: Registration) -> Result<Registration, String> {
        let now = self.gateway.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        let now = now.unwrap_or_default();
        let latest = now.saturating_add(MAX_CLOCK_DIFFERENCE).as_millis();
        if now >= FIRST_TIME && u128::from(it.born_ms) > latest {
            return Err(format!("start at {} ms is in the future", it.born_ms));
        }
        Ok(it)
    }

    async fn read_from_peer(&mut self) {
        let Some((snapshot, from)) = rpc::fetch_registry(&self.gateway).await else { return };
        let source = format!("peer:{from}");
        let rpc::Snapshot { era, end, registrations, removals } = snapshot;
        self.replace(registrations, removals, era, end, &source);
        self.gateway.mark_registry_read();
        self.schedule();
        self.update_shared();
    }

    /// Takes over what the peer knows better whose registry differs: the store may have executed a write
    /// late, behind which this daemon has read the whole registry.
    async fn merge_peer(&self) {
        let gateway = &self.gateway;
        let Some(peer) = gateway.differing_peer.take() else { return };
        let Some(snapshot) = rpc::fetch_registry_of(peer).await else { return };
        if snapshot.era != gateway.registry.borrow().era() {
            return;
        }
        let changes =
            gateway.registry.borrow_mut().merge(snapshot.registrations, snapshot.removals);
        log::info!(target: "belief", "event=registry-merged peer={peer} changes={}", changes.len());
        self.apply_all(&changes, &format!("peer-merged:{peer}"));
        self.update_shared();
    }

    fn apply_all(&self, changes: &[Change], source: &str) {
        for it in changes {
            self.gateway.apply(it, source);
        }
    }

    /// Updates the registry served to peers that can't read the store.
    fn update_shared(&self) {
        self.shared.set_registry(&self.gateway.registry.borrow());
    }
}

/// Waits until a daemon without a registry should look for one at its peers. Randomized, so that a
/// fleet that starts doesn't ask the first peers that have it all at once.
async fn peer_check() {
    tokio::time::sleep(PEER_CHECK_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
}

//! Follows the upstreams that register themselves.
//!
//! The registry changes at every heartbeat of every upstream, so it is read at intervals and by few:
//! whoever has read it tells the peers, who then put off their own reading. The order in which
//! daemons come to read is that of their links; the next one steps in when one is missing.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::{CALL_TIMEOUT, Contact, call};
use crate::{
    gateway::Gateway,
    mesh::Mesh,
    peer::Relay,
    platform::{Batch, Error, Platform, Record, Topic},
    registry::{Change, UpstreamId},
    rpc,
};

/// Reads within the time in which a leaving upstream must get no new request.
const READS_PER_DRAIN: u32 = 3;
/// Time after which the next daemon in the order reads in place of one that is silent.
const STAGGER: Duration = Duration::from_millis(150);
/// Daemons that step in one after the other; all others follow within the same time again.
const MAX_PLACE: u32 = 4;
/// Pause after a failed call, for the first daemon in the order; the others wait for its news and try
/// less often.
const FAILED_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause after a failed call, in pauses of the first daemon.
const MAX_PAUSES: u32 = 10;

/// Follows the upstreams that register themselves.
pub struct Follower<P> {
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    mesh: Rc<Mesh>,
    shared: rpc::Shared,
    contact: Contact,
    next: Instant,
}

impl<P: Platform> Follower<P> {
    /// A follower that has read nothing yet.
    #[must_use]
    pub fn new(gateway: Rc<Gateway>, platform: Rc<P>, mesh: Rc<Mesh>, shared: rpc::Shared) -> Self {
        let next = gateway.now();
        Self { gateway, platform, mesh, shared, contact: Contact::default(), next }
    }

    /// Follows until the task is dropped.
    pub async fn run(mut self) {
        let gateway = Rc::clone(&self.gateway);
        loop {
            tokio::select! {
                biased;
                () = gateway.registry_wanted.notified() => self.read().await,
                () = gateway.registry_read.notified() => {
                    self.next = gateway.now() + self.interval();
                    self.share();
                }
                () = tokio::time::sleep_until(self.next.into()) => self.read().await,
            }
        }
    }

    fn interval(&self) -> Duration {
        let place = self.gateway.peers.borrow().rank(self.gateway.now());
        let turn = self.gateway.settings().drain / READS_PER_DRAIN;
        if place < MAX_PLACE {
            return turn + STAGGER * place;
        }
        // Not all at once: whoever is first tells the others.
        turn + STAGGER.mul_f64(f64::from(MAX_PLACE) + 2.0 * fastrand::f64())
    }

    async fn read(&mut self) {
        let gateway = Rc::clone(&self.gateway);
        let from = gateway.registry.borrow().end();
        let res = if from == 0 {
            let newest = self.platform.newest(Topic::Upstreams);
            call(&gateway, "upstreams-newest", CALL_TIMEOUT, newest).await
        } else {
            let read = self.platform.read(Topic::Upstreams, from, Duration::ZERO);
            call(&gateway, "upstreams-read", CALL_TIMEOUT, read).await
        };
        let now = gateway.now();
        self.contact.note(now, "upstreams", &res);
        match res {
            Ok(batch) => {
                gateway.registry.borrow_mut().store_answered(now);
                let to = batch.end;
                let changes = if from == 0 { self.replace(&batch) } else { self.take(&batch) };
                gateway.set_registry_known();
                if from > 0 && gateway.registry.borrow().trusts_removals() {
                    self.mesh.relay(Relay { from, to, changes });
                }
                self.next = now + self.interval();
            }
            Err(Error::Deleted { .. }) => {
                gateway.registry.borrow_mut().restart_read();
                self.next = now;
            }
            Err(_) => {
                gateway.registry.borrow_mut().store_failed();
                if gateway.registry.borrow().end() == 0 {
                    self.ask_peers().await;
                }
                let place = gateway.peers.borrow().rank(now);
                let pause = FAILED_PAUSE * (place + 1).min(MAX_PAUSES);
                self.next = now + pause.mul_f64(0.75 + fastrand::f64() / 2.0);
            }
        }
        self.share();
    }

    /// Takes in the newest record of each upstream.
    fn replace(&self, batch: &Batch) -> Vec<Change> {
        let decode = |it: &Record| match self.decode(it) {
            Some(Change::Put(it)) => Some(it),
            _ => None,
        };
        let registrations = batch.records.iter().filter_map(decode).collect();
        let now = self.gateway.now();
        let changes = self.gateway.registry.borrow_mut().replace(now, registrations, batch.end);
        for it in &changes {
            self.gateway.apply(it, "store");
        }
        changes
    }

    /// Takes in the records written since the last read.
    fn take(&self, batch: &Batch) -> Vec<Change> {
        let now = self.gateway.now();
        let mut res = Vec::new();
        for it in &batch.records {
            let Some(change) = self.decode(it) else { continue };
            res.extend(self.gateway.registry.borrow_mut().apply(now, change));
        }
        res.extend(self.gateway.registry.borrow_mut().tick(now));
        self.gateway.registry.borrow_mut().advance(batch.end);
        for it in &res {
            self.gateway.apply(it, "store");
        }
        res
    }

    /// The change that a record tells of; a record that can't be read names no upstream.
    fn decode(&self, record: &Record) -> Option<Change> {
        let Some(value) = &record.value else {
            return Some(Change::Removed(UpstreamId::from(&*record.key)));
        };
        match self.platform.registration(&record.key, value) {
            Ok(it) => Some(Change::Put(it)),
            Err(e) => {
                log::debug!("event=record-ignored key_bytes={} error=\"{e}\"", record.key.len());
                None
            }
        }
    }

    async fn ask_peers(&self) {
        let Some((known, from)) = rpc::fetch_registry(&self.gateway).await else { return };
        let now = self.gateway.now();
        let changes =
            self.gateway.registry.borrow_mut().replace(now, known.registrations, known.end);
        let source = format!("peer:{from}");
        for it in &changes {
            self.gateway.apply(it, &source);
        }
        self.gateway.set_registry_known();
    }

    /// Keeps what peers that can't read the store may ask for.
    fn share(&self) {
        let registry = self.gateway.registry.borrow();
        self.shared.set_registry(registry.end(), registry.digest(), || {
            registry.entries().cloned().collect()
        });
    }
}

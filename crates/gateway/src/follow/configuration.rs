//! Follows the configurations that operators publish.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::{Availability, CALL_TIMEOUT, call};
use crate::{
    gateway::Gateway,
    platform::{Batch, Error, Offset, Platform, Topic},
    rpc,
};

/// Long-poll time of a read in a fleet where every daemon reads the store. TCP keep-alive detects
/// dead connections well before.
const LONG_POLL_TIME: Duration = Duration::from_secs(20);
/// Number of live peers below which every daemon reads the store.
const SMALL_FLEET: u32 = 8;
/// Daemons that read the store in a larger fleet; the others learn of new configurations from them.
const READERS: u32 = 3;
/// Long-poll time of a read by one of these daemons, since the others rely on their confirmations.
const READER_LONG_POLL_TIME: Duration = Duration::from_millis(1_500);
/// Time after the start by which daemons have discovered each other.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);
/// Interval at which a daemon that does not read the store checks whether the readers' confirmation
/// is recent.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Part of the time limit for applying a configuration that is reserved for this daemon's own read
/// of the store.
const READ_RESERVE: Duration = Duration::from_millis(700);
/// Pause after a failed call of a daemon that normally does not read the store.
const STALE_READ_PAUSE: Duration = Duration::from_secs(3);
/// First pause after a failed call.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a failed call; the time limit for applying a configuration allows no more.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Timeout of this daemon's own read of a configuration that a peer already has.
const OWN_READ_TIMEOUT: Duration = Duration::from_millis(250);

/// Follows the configurations that operators publish.
pub struct Follower<P> {
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    shared: rpc::Shared,
    availability: Availability,
    started: Instant,
    end: Option<Offset>,
    pause: Duration,
    /// When this daemon may read again although it is not one of the readers.
    stale_read_from: Instant,
}

impl<P: Platform> Follower<P> {
    /// Creates a follower that has read nothing yet.
    #[must_use]
    pub fn new(gateway: Rc<Gateway>, platform: Rc<P>, shared: rpc::Shared) -> Self {
        let availability = Availability::default();
        let started = gateway.now();
        let (pause, stale_read_from) = (MIN_RETRY_PAUSE, started);
        Self { gateway, platform, shared, availability, started, end: None, pause, stale_read_from }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        let gateway = Rc::clone(&self.gateway);
        loop {
            if self.is_reader() {
                tokio::select! {
                    () = self.read() => {}
                    () = gateway.config_wanted.notified() => self.catch_up().await,
                }
                continue;
            }
            // A timeout means that no peer has announced a newer configuration.
            let _elapsed =
                tokio::time::timeout(CHECK_INTERVAL, gateway.config_wanted.notified()).await;
            if self.is_behind() {
                self.catch_up().await;
            } else if self.is_stale() && gateway.now() >= self.stale_read_from {
                self.end = None;
                self.read().await;
                if self.availability.is_unavailable() {
                    let pause = STALE_READ_PAUSE.mul_f64(0.75 + fastrand::f64() / 2.0);
                    self.stale_read_from = gateway.now() + pause;
                }
            }
        }
    }

    /// Whether this daemon is one of those that always read the store.
    fn is_reader(&self) -> bool {
        let peers = self.gateway.peers.borrow();
        let now = self.gateway.now();
        peers.live_count(now) < SMALL_FLEET || peers.position(now) < READERS
    }

    /// Whether neither this daemon nor a live peer has a recent confirmation of the newest
    /// configuration.
    fn is_stale(&self) -> bool {
        let gateway = &self.gateway;
        let now = gateway.now();
        let limit = gateway.settings().config_apply.saturating_sub(READ_RESERVE);
        let own = gateway.config_confirmed.get().map(|it| now.saturating_duration_since(it));
        let peers = gateway.peers.borrow();
        let reported_ages = peers.live_peers(now).filter_map(|(_, it)| {
            let age = Duration::from_millis(it.heartbeat.config_checked_ms?.into());
            Some(age + now.saturating_duration_since(it.heartbeat_at))
        });
        reported_ages.chain(own).min().is_none_or(|it| it >= limit)
    }

    /// Reads the store once.
    async fn read(&mut self) {
        let gateway = Rc::clone(&self.gateway);
        let res = match self.end {
            None => {
                let newest = self.platform.newest(Topic::Config);
                call(&gateway, "config-newest", CALL_TIMEOUT, newest).await
            }
            Some(from) => {
                let now = gateway.now();
                let is_discovered = now.saturating_duration_since(self.started) >= DISCOVERY_TIME;
                let is_small =
                    is_discovered && gateway.peers.borrow().live_count(now) < SMALL_FLEET;
                let wait = if is_small { LONG_POLL_TIME } else { READER_LONG_POLL_TIME };
                let poll = self.platform.read(Topic::Config, from, wait);
                call(&gateway, "config-read", wait + CALL_TIMEOUT, poll).await
            }
        };
        self.availability.update(gateway.now(), "config", &res);
        match res {
            Ok(it) => {
                self.pause = MIN_RETRY_PAUSE;
                self.apply_batch(&it, "store");
                gateway.config_confirmed.set(Some(gateway.now()));
                gateway.heartbeat_wanted.notify_one();
            }
            Err(Error::Deleted { .. }) => self.end = None,
            Err(_) => {
                // Records written meanwhile may be deleted before the next read, so it must start
                // over.
                self.end = None;
                self.pause().await;
            }
        }
    }

    /// Fetches a configuration that a peer already has, unless this daemon's own read returns it
    /// within [`OWN_READ_TIMEOUT`].
    async fn catch_up(&mut self) {
        if self.is_reader() {
            // A read that takes longer is cancelled: its connection may be dead.
            let _elapsed = tokio::time::timeout(OWN_READ_TIMEOUT, self.read()).await;
        }
        if !self.is_behind() {
            return;
        }
        self.end = None;
        let gateway = Rc::clone(&self.gateway);
        let fetched = rpc::fetch_config(&gateway).await;
        if let Some((fetched_record, from)) = fetched {
            let record = crate::platform::Record {
                key: fetched_record.key,
                value: Some(fetched_record.value.into_bytes().into()),
            };
            self.apply_record(&record, &format!("peer:{from}"));
        }
        if self.is_behind() {
            self.read().await;
        }
    }

    fn is_behind(&self) -> bool {
        let gateway = &self.gateway;
        let peers = gateway.peers.borrow();
        peers.live_peers(gateway.now()).any(|(_, it)| it.heartbeat.config > gateway.version())
    }

    fn apply_batch(&mut self, batch: &Batch, source: &str) {
        self.end = Some(batch.end);
        for it in &batch.records {
            self.apply_record(it, source);
        }
    }

    fn apply_record(&self, record: &crate::platform::Record, source: &str) {
        let Some(value) = &record.value else { return };
        let Some(res) = self.platform.config(&record.key, value) else { return };
        let config = match res {
            Ok(it) => it,
            Err(findings) => {
                log::error!(
                    target: "belief",
                    "event=config-rejected source={source} findings=\"{}\"", findings.join("; ")
                );
                return;
            }
        };
        if self.gateway.set_config(config, source) {
            self.shared.set_config(&record.key, value);
            self.gateway.heartbeat_wanted.notify_one();
        }
    }

    async fn pause(&mut self) {
        let jitter = 0.75 + fastrand::f64() / 2.0;
        tokio::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(MAX_RETRY_PAUSE);
    }
}

//! Follows the configurations that operators publish.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::{CALL_TIMEOUT, Contact, call};
use crate::{
    gateway::Gateway,
    platform::{Batch, Error, Offset, Platform, Topic},
    rpc,
};

/// Longest time that the store may hold a read back, in a fleet where every daemon reads. Connections
/// that have gone silent are noticed by their keep-alive probes, well before.
const READ_WAIT: Duration = Duration::from_secs(20);
/// Daemons up to which every one reads the store.
const SMALL_FLEET: u32 = 8;
/// Daemons that read in a larger fleet; the others hear of news from them.
const READERS: u32 = 3;
/// Longest time that the store may hold back a read of these: the others count on their word.
const READER_WAIT: Duration = Duration::from_millis(1_500);
/// Time after the start by which daemons have found one another.
const MEETING_TIME: Duration = Duration::from_secs(2);
/// How often a daemon that doesn't read looks whether the word of the readers is fresh.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Part of the time in which a configuration must be in force that is kept for reading it oneself.
const READ_RESERVE: Duration = Duration::from_millis(700);
/// Pause of a daemon that doesn't read otherwise after a failed call.
const HELPER_PAUSE: Duration = Duration::from_secs(3);
/// First pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause between failed calls; the bound on the age of a configuration allows no more.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Time for an own read to bring a configuration that a peer is known to have.
const PEER_HEAD_START: Duration = Duration::from_millis(250);

/// Follows the configurations that operators publish.
pub struct Follower<P> {
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    shared: rpc::Shared,
    contact: Contact,
    started: Instant,
    end: Option<Offset>,
    pause: Duration,
    /// When this daemon may read again in place of the readers.
    help_from: Instant,
}

impl<P: Platform> Follower<P> {
    /// A follower that has read nothing yet.
    #[must_use]
    pub fn new(gateway: Rc<Gateway>, platform: Rc<P>, shared: rpc::Shared) -> Self {
        let contact = Contact::default();
        let started = gateway.now();
        let (pause, help_from) = (MIN_PAUSE, started);
        Self { gateway, platform, shared, contact, started, end: None, pause, help_from }
    }

    /// Follows until the task is dropped.
    pub async fn run(mut self) {
        let gateway = Rc::clone(&self.gateway);
        loop {
            if self.is_reader() {
                tokio::select! {
                    () = self.step() => {}
                    () = gateway.config_wanted.notified() => self.hurry().await,
                }
                continue;
            }
            // A failed look is no failure: it only means that nothing was announced.
            let _quiet =
                tokio::time::timeout(LOOK_INTERVAL, gateway.config_wanted.notified()).await;
            if self.is_behind() {
                self.hurry().await;
            } else if self.is_stale() && gateway.now() >= self.help_from {
                self.end = None;
                self.step().await;
                if self.contact.is_lost() {
                    let pause = HELPER_PAUSE.mul_f64(0.75 + fastrand::f64() / 2.0);
                    self.help_from = gateway.now() + pause;
                }
            }
        }
    }

    /// Whether this daemon is one of those that read the store all the time.
    fn is_reader(&self) -> bool {
        let peers = self.gateway.peers.borrow();
        let now = self.gateway.now();
        peers.live_count(now) < SMALL_FLEET || peers.rank(now) < READERS
    }

    /// Whether nobody has heard lately from the store which configuration is the newest.
    fn is_stale(&self) -> bool {
        let gateway = &self.gateway;
        let now = gateway.now();
        let limit = gateway.settings().config_apply.saturating_sub(READ_RESERVE);
        let own = gateway.config_checked.get().map(|it| now.saturating_duration_since(it));
        let peers = gateway.peers.borrow();
        let told = peers.live_peers(now).filter_map(|(_, it)| {
            let age = Duration::from_millis(it.heartbeat.config_checked_ms?.into());
            Some(age + now.saturating_duration_since(it.heartbeat_at))
        });
        told.chain(own).min().is_none_or(|it| it >= limit)
    }

    /// One read of the store.
    async fn step(&mut self) {
        let gateway = Rc::clone(&self.gateway);
        let res = match self.end {
            None => {
                let newest = self.platform.newest(Topic::Config);
                call(&gateway, "config-newest", CALL_TIMEOUT, newest).await
            }
            Some(from) => {
                let now = gateway.now();
                let knows_fleet = now.saturating_duration_since(self.started) >= MEETING_TIME;
                let is_small = knows_fleet && gateway.peers.borrow().live_count(now) < SMALL_FLEET;
                let wait = if is_small { READ_WAIT } else { READER_WAIT };
                let read = self.platform.read(Topic::Config, from, wait);
                call(&gateway, "config-read", wait + CALL_TIMEOUT, read).await
            }
        };
        self.contact.note(gateway.now(), "config", &res);
        match res {
            Ok(it) => {
                self.pause = MIN_PAUSE;
                self.take(&it, "store");
                gateway.config_checked.set(Some(gateway.now()));
                gateway.news.notify_one();
            }
            Err(Error::Deleted { .. }) => self.end = None,
            Err(_) => {
                // What was written meanwhile may be deleted before the next read: start anew.
                self.end = None;
                self.pause().await;
            }
        }
    }

    /// Fetches a configuration that a peer is known to have, unless the own read brings it at once.
    async fn hurry(&mut self) {
        if self.is_reader() {
            // A read that takes longer is given up: its connection may have gone silent.
            let _elapsed = tokio::time::timeout(PEER_HEAD_START, self.step()).await;
        }
        if !self.is_behind() {
            return;
        }
        self.end = None;
        let gateway = Rc::clone(&self.gateway);
        let fetched = rpc::fetch_config(&gateway).await;
        if let Some((text, from)) = fetched {
            let record = crate::platform::Record {
                key: text.key,
                value: Some(text.value.into_bytes().into()),
            };
            self.take_record(&record, &format!("peer:{from}"));
        }
        if self.is_behind() {
            self.step().await;
        }
    }

    fn is_behind(&self) -> bool {
        let gateway = &self.gateway;
        let peers = gateway.peers.borrow();
        peers.live_peers(gateway.now()).any(|(_, it)| it.heartbeat.config > gateway.version())
    }

    fn take(&mut self, batch: &Batch, source: &str) {
        self.end = Some(batch.end);
        for it in &batch.records {
            self.take_record(it, source);
        }
    }

    fn take_record(&self, record: &crate::platform::Record, source: &str) {
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
            self.gateway.news.notify_one();
        }
    }

    async fn pause(&mut self) {
        let jitter = 0.75 + fastrand::f64() / 2.0;
        tokio::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}

//! Follows the configurations that operators publish, and the evacuations of failure domains in the
//! same topic.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64;

use super::{Availability, CALL_TIMEOUT, call, evacuation};
use crate::{
    config::{Confirmation, Role},
    gateway::Gateway,
    platform::{Batch, Error, Offset, Platform, Topic},
    registry::{Progress, Stamp},
    rpc,
};

/// Time after the start by which daemons have discovered each other.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);
/// Time after the first start of a fleet for which its seeds confirm the configuration to the others,
/// until these read the store as well.
const FIRST_START_TIME: Duration = Duration::from_secs(5);
/// Interval at which a daemon checks whether the last confirmation of the configuration is recent.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed call of a daemon that normally does not read the store.
const STALE_READ_PAUSE: Duration = Duration::from_secs(3);
/// First pause after a failed call.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a failed call; the time limit for applying a configuration allows no more.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Timeout of this daemon's own read of a configuration that a peer already has.
const OWN_READ_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause before the newest records are read because the last read did not connect to what is known. It
/// bounds the calls to a store whose answers contradict each other.
const REREAD_PAUSE: Duration = Duration::from_millis(100);

/// Follows the configurations that operators publish.
pub struct Follower<P> {
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    shared: rpc::Shared,
    availability: Availability,
    started: Instant,
    end: Option<Offset>,
    /// Stamp of the evacuations when `end` was read, which holds for the offsets of this stamp only.
    stamp: Stamp,
    pause: Duration,
    /// Hash of the last configuration that was rejected, whose findings are logged only once.
    rejected: Option<u64>,
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
        Self {
            gateway,
            platform,
            shared,
            availability,
            started,
            end: None,
            stamp: Stamp::default(),
            pause,
            rejected: None,
            stale_read_from,
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        let gateway = Rc::clone(&self.gateway);
        loop {
            let role = self.role();
            if role.reads() {
                let is_held = self.end.is_some();
                let max_age = role.max_confirmation_age(gateway.settings().config_apply);
                tokio::select! {
                    () = self.read(role.poll_time()) => {}
                    () = gateway.config_wanted.notified() => self.catch_up().await,
                    () = gateway.config_read_wanted.notified(), if is_held => self.refresh().await,
                    // The connection of the read in progress may be dead: another one is used.
                    () = unread(&gateway, max_age), if is_held => self.read(Duration::ZERO).await,
                }
                continue;
            }
            let is_read_wanted = tokio::select! {
                () = gateway.config_wanted.notified() => false,
                () = gateway.config_read_wanted.notified() => gateway.knowledge().is_unsure(),
                // No peer has announced a newer configuration.
                () = tokio::time::sleep(CHECK_INTERVAL) => false,
            };
            if self.is_behind() {
                self.catch_up().await;
            } else if !gateway.waits_for_peers()
                && (is_read_wanted || self.is_stale(role))
                && gateway.now() >= self.stale_read_from
            {
                self.end = None;
                self.read(Duration::ZERO).await;
                if self.availability.is_unavailable() {
                    let pause = STALE_READ_PAUSE.mul_f64(0.75 + fastrand::f64() / 2.0);
                    self.stale_read_from = gateway.now() + pause;
                }
            }
        }
    }

    fn role(&self) -> Role {
        let now = self.gateway.now();
        if self.gateway.waits_for_peers() {
            return Role::Relying;
        }
        let age = now.saturating_duration_since(self.started);
        let settings = self.gateway.settings();
        if settings.is_first_start && !settings.starts_from_peers() && age < FIRST_START_TIME {
            return Role::undiscovered(false);
        }
        if age < DISCOVERY_TIME {
            return Role::undiscovered(self.gateway.version() > 0);
        }
        let peers = self.gateway.peers.borrow();
        Role::new(peers.live_count(now), peers.position(now))
    }

    /// Whether neither this daemon nor a live peer has a recent confirmation of the newest
    /// configuration.
    fn is_stale(&self, role: Role) -> bool {
        let limit = role.max_confirmation_age(self.gateway.settings().config_apply);
        read_age(&self.gateway).is_none_or(|it| it >= limit)
    }

    /// Reads the store once; it may hold the read back for up to `wait`.
    async fn read(&mut self, wait: Duration) {
        let gateway = Rc::clone(&self.gateway);
        let started = gateway.since_boot();
        let stamp = gateway.evacuation_stamp();
        let from = self.end.filter(|_| self.stamp.shares_offsets(stamp));
        let res = match from {
            None => {
                let newest = self.platform.newest(Topic::Config);
                call(&gateway, "config-newest", CALL_TIMEOUT, newest).await
            }
            Some(from) => {
                let poll = self.platform.read(Topic::Config, from, wait);
                call(&gateway, "config-read", wait + CALL_TIMEOUT, poll).await
            }
        };
        self.availability.update(gateway.now(), "config", &res);
        match res {
            Ok(it) => {
                self.pause = MIN_RETRY_PAUSE;
                let progress = self.apply_batch(stamp, from, &it);
                gateway.last_config_read.set(Some(gateway.now()));
                if !it.is_complete {
                    gateway.update_confirmation(Confirmation::miss_records);
                } else if progress == Progress::Continue {
                    let now = gateway.since_boot();
                    // An empty answer may have been on the way for long, but the store held it back.
                    let is_held = from == Some(it.end) && now.saturating_sub(started) >= wait;
                    let at = if is_held { started + wait } else { started };
                    let era = it.era;
                    gateway.update_confirmation(|it| it.confirm_read(era, at, now));
                }
                gateway.heartbeat_wanted.notify_one();
                if progress == Progress::ReadNewest {
                    self.end = None;
                    tokio::time::sleep(REREAD_PAUSE).await;
                }
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
        if self.role().reads() {
            // A read that takes longer is cancelled: its connection may be dead.
            let read = self.read(Duration::ZERO);
            let _elapsed = tokio::time::timeout(OWN_READ_TIMEOUT, read).await;
        }
        if !self.is_behind() {
            return;
        }
        self.end = None;
        let gateway = Rc::clone(&self.gateway);
        let fetched = rpc::fetch_config(&gateway).await;
        if let Some((fetched_record, from)) = fetched {
            let record = crate::platform::Record {
                offset: 0,
                key: fetched_record.key,
                value: Some(fetched_record.value.into_bytes().into()),
            };
            self.apply_record(&record, &format!("peer:{from}"));
        }
        if self.is_behind() && !gateway.waits_for_peers() {
            self.read(Duration::ZERO).await;
        }
    }

    /// Reads the newest configuration if the one in force may not be it.
    async fn refresh(&mut self) {
        if self.is_behind() {
            self.catch_up().await;
        } else if self.gateway.knowledge().is_unsure() {
            self.read(Duration::ZERO).await;
        }
    }

    fn is_behind(&self) -> bool {
        self.gateway.newest_config() > self.gateway.version()
    }

    /// Applies what was read from the offset `from` on, or the newest records if there is none.
    /// `started` is the stamp of the evacuations at the start of the read.
    fn apply_batch(&mut self, started: Stamp, from: Option<Offset>, batch: &Batch) -> Progress {
        let (gateway, platform) = (&self.gateway, &*self.platform);
        let records = batch.records.iter();
        let records: Vec<_> =
            records.filter_map(|it| evacuation::decode(gateway, platform, it)).collect();
        let is_new_era = gateway.begin_evacuation_era(batch.era);
        let started = match from {
            None if is_new_era => gateway.evacuation_stamp(),
            _ => started,
        };
        // Before the configuration, since a daemon must not become ready without the evacuations.
        let res = match from {
            // The store answered before it came back from an older copy.
            _ if batch.era < gateway.evacuation_stamp().era => Progress::ReadNewest,
            None => gateway.apply_newest_evacuations(started, batch.end, records),
            Some(from) => gateway.apply_evacuation_records(started, from, batch.end, &records),
        };
        self.end = Some(batch.end);
        self.stamp = gateway.evacuation_stamp();
        let mut is_readable = None;
        for it in &batch.records {
            is_readable = self.apply_record(it, "store").or(is_readable);
        }
        if from.is_none() || is_readable.is_some() {
            let is_unreadable = is_readable == Some(false);
            self.gateway.update_confirmation(|it| it.set_unreadable(is_unreadable));
        }
        res
    }

    /// Puts a configuration in force if it is newer. Returns whether it can be read; `None` if the record
    /// holds something else.
    fn apply_record(&mut self, record: &crate::platform::Record, source: &str) -> Option<bool> {
        let value = record.value.as_ref()?;
        let res = self.platform.config(&record.key, value)?;
        let config = match res {
            Ok(it) => it,
            Err(findings) => {
                // The same record is read again after failed calls.
                let hash = Some(xxh3_64(value));
                if std::mem::replace(&mut self.rejected, hash) == hash {
                    return Some(false);
                }
                self.gateway.metrics.config_findings.inc_by(findings.len() as u64);
                log::error!(
                    target: "belief",
                    "event=config-rejected source={source} findings=\"{}\"", findings.join("; ")
                );
                return Some(false);
            }
        };
        if self.gateway.set_config(config, source) {
            self.shared.set_config(&record.key, value);
            self.gateway.heartbeat_wanted.notify_one();
        }
        Some(true)
    }

    async fn pause(&mut self) {
        let jitter = 0.75 + fastrand::f64() / 2.0;
        tokio::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(MAX_RETRY_PAUSE);
    }
}

/// Age of the last read of the store by this daemon or a live peer, as far as it is known from
/// heartbeats, whose time on the way is not known.
fn read_age(gateway: &Gateway) -> Option<Duration> {
    let now = gateway.now();
    let own = gateway.last_config_read.get().map(|it| now.saturating_duration_since(it));
    let peers = gateway.peers.borrow();
    let reported = peers.live_peers(now).filter_map(|(_, it)| {
        let age = Duration::from_millis(it.heartbeat.config_checked_ms?.into());
        Some(age + now.saturating_duration_since(it.heartbeat_at))
    });
    reported.chain(own).min()
}

/// Waits until the last read of the store is older than `max_age`.
async fn unread(gateway: &Gateway, max_age: Duration) {
    while read_age(gateway).is_some_and(|it| it < max_age) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

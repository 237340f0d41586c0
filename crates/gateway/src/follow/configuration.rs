//! Follows the configurations that operators publish.

use std::{rc::Rc, time::Duration};

use super::{CALL_TIMEOUT, Contact, call};
use crate::{
    gateway::Gateway,
    platform::{Batch, Error, Offset, Platform, Topic},
    rpc,
};

/// Longest time that the store may hold a read back. Connections that have gone silent are noticed
/// by their keep-alive probes, well before.
const READ_WAIT: Duration = Duration::from_secs(20);
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
    end: Option<Offset>,
    pause: Duration,
}

impl<P: Platform> Follower<P> {
    /// A follower that has read nothing yet.
    #[must_use]
    pub fn new(gateway: Rc<Gateway>, platform: Rc<P>, shared: rpc::Shared) -> Self {
        let contact = Contact::default();
        Self { gateway, platform, shared, contact, end: None, pause: MIN_PAUSE }
    }

    /// Follows until the task is dropped.
    pub async fn run(mut self) {
        let gateway = Rc::clone(&self.gateway);
        loop {
            tokio::select! {
                () = self.step() => {}
                () = gateway.config_wanted.notified() => self.hurry().await,
            }
        }
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
                let read = self.platform.read(Topic::Config, from, READ_WAIT);
                call(&gateway, "config-read", READ_WAIT + CALL_TIMEOUT, read).await
            }
        };
        self.contact.note(gateway.now(), "config", &res);
        match res {
            Ok(it) => {
                self.pause = MIN_PAUSE;
                self.take(&it, "store");
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
        if tokio::time::timeout(PEER_HEAD_START, self.step()).await.is_ok() && !self.is_behind() {
            return;
        }
        if !self.is_behind() {
            return;
        }
        // The connection of the held read may have gone silent.
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
    }

    fn is_behind(&self) -> bool {
        let gateway = &self.gateway;
        let peers = gateway.peers.borrow();
        peers.live_peers(gateway.now()).any(|(_, it)| it.beat.config > gateway.version())
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
        }
    }

    async fn pause(&mut self) {
        let jitter = 0.75 + fastrand::f64() / 2.0;
        tokio::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}

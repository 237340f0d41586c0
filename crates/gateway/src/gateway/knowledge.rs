//! What the daemon knows about which configuration is the newest, and what it does to find out.
//!
//! Callers never repeat a request after a final refusal, so a refusal that rests on the configuration
//! needs one that was the newest within the time limit for applying a configuration. Whatever was
//! published after that moment need not be in force yet.

use std::time::Duration;

use super::Gateway;
use crate::{
    config::{BootTime, Confirmation, Knowledge, Version},
    peer::{ConfigReply, QueryId},
};

/// Longest time for which a request waits until the configuration is confirmed. Peers answer within
/// milliseconds, and so does the store.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after a confirmation that did not come in which no request waits for another. Without it, each
/// request would wait while the store is away.
const CONFIRMATION_PAUSE: Duration = Duration::from_millis(500);

impl Gateway {
    /// Time since boot, including suspension.
    #[must_use]
    pub fn since_boot(&self) -> BootTime {
        self.clock.since_boot()
    }

    /// Highest version of the configurations that are in force here and at live peers.
    #[must_use]
    pub fn newest_config(&self) -> Version {
        let peers = self.peers.borrow();
        let announced = peers.live_peers(self.now()).map(|(_, it)| it.heartbeat.config).max();
        self.version().max(announced.unwrap_or_default())
    }

    /// How much is known about whether the configuration in force is the newest.
    #[must_use]
    pub fn knowledge(&self) -> Knowledge {
        let (own, newest) = (self.version(), self.newest_config());
        let max_age = self.settings().config_apply;
        self.confirmation.get().knowledge(own, newest, self.since_boot(), max_age)
    }

    /// Waits until the configuration in force is known to be the newest, if that can be found out
    /// within `limit` and a short time, and returns what is known then.
    pub async fn await_confirmation(&self, limit: Duration) -> Knowledge {
        let timeout = tokio::time::sleep(CONFIRMATION_TIMEOUT.min(limit));
        tokio::pin!(timeout);
        let mut asked = None;
        loop {
            // Created before the check, so that no change is missed.
            let changed = self.knowledge_changed.notified();
            let knowledge = self.knowledge();
            if !knowledge.is_unsure() || !self.confirmation_pause().is_zero() {
                return knowledge;
            }
            if asked != Some(knowledge) {
                asked = Some(knowledge);
                self.confirmation_wanted.notify_one();
            }
            tokio::select! {
                () = changed => {}
                () = &mut timeout => break,
            }
        }
        let knowledge = self.knowledge();
        if knowledge.is_unsure() && limit >= CONFIRMATION_TIMEOUT {
            self.confirmation_failed_at.set(Some(self.since_boot()));
        }
        knowledge
    }

    /// Time until a request waits for a confirmation again; zero if one does now.
    #[must_use]
    pub fn confirmation_pause(&self) -> Duration {
        let end = self.confirmation_failed_at.get().map(|it| it + CONFIRMATION_PAUSE);
        end.map_or(Duration::ZERO, |it| it.saturating_sub(self.since_boot()))
    }

    /// Changes when the configuration was last known to be the newest.
    pub fn update_confirmation(&self, change: impl FnOnce(&mut Confirmation)) {
        let mut confirmation = self.confirmation.get();
        change(&mut confirmation);
        if self.confirmation.replace(confirmation) != confirmation {
            self.knowledge_changed.notify_waiters();
        }
    }

    /// Starts a query to peers about the newest configuration; replies to earlier ones don't count any
    /// more.
    pub fn begin_config_query(&self) -> QueryId {
        let id = fastrand::u64(..);
        self.config_query.set(Some((id, self.since_boot())));
        id
    }

    /// What this daemon knows about the newest configuration, in reply to a peer's query.
    #[must_use]
    pub fn config_reply(&self, query: QueryId) -> ConfigReply {
        let age = self.confirmation.get().age(self.since_boot());
        let age_ms = age.map(|it| u32::try_from(it.as_millis()).unwrap_or(u32::MAX));
        ConfigReply { query, version: self.version(), age_ms }
    }

    /// Records a reply. The peer took the age after the query was sent, so however long the reply took,
    /// the confirmation is from no earlier than that age before the query.
    pub fn record_config_reply(&self, reply: ConfigReply) {
        let query = self.config_query.get().filter(|(id, _)| *id == reply.query);
        let (Some((_, sent)), Some(age)) = (query, reply.age_ms) else { return };
        if reply.version <= self.version() {
            // The peer has rounded down.
            let age = Duration::from_millis(age.into()) + Duration::from_millis(1);
            self.update_confirmation(|it| it.confirm(sent.saturating_sub(age)));
        }
    }

    /// What is known, for log lines about denied requests.
    #[must_use]
    pub fn knowledge_text(&self) -> String {
        let age = self.confirmation.get().age(self.since_boot());
        let age = age.map_or_else(|| "-".to_owned(), |it| it.as_millis().to_string());
        let (knowledge, newest) = (self.knowledge().name(), self.newest_config());
        format!("knowledge={knowledge} newest={newest} confirmed_ms={age}")
    }
}

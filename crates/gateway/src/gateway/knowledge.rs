//! What the daemon knows about which configuration is the newest.

use super::Gateway;
use crate::config::{BootTime, Confirmation, Knowledge};

impl Gateway {
    /// Time since boot, including suspension.
    #[must_use]
    pub fn since_boot(&self) -> BootTime {
        self.clock.since_boot()
    }

    /// How much is known about whether the configuration in force is the newest.
    #[must_use]
    pub fn knowledge(&self) -> Knowledge {
        let max_age = self.settings().config_apply;
        self.confirmation.get().knowledge(self.version(), self.since_boot(), max_age)
    }

    /// Changes what is known about which configuration is the newest.
    pub fn update_confirmation(&self, change: impl FnOnce(&mut Confirmation)) {
        let mut confirmation = self.confirmation.get();
        change(&mut confirmation);
        self.confirmation.set(confirmation);
        let newest = i64::try_from(confirmation.newest()).unwrap_or(i64::MAX);
        self.metrics.newest_config_version.set(newest);
    }

    /// What is known, for log lines about denied requests.
    #[must_use]
    pub fn knowledge_text(&self) -> String {
        let confirmation = self.confirmation.get();
        let age = confirmation.age(self.since_boot());
        let age = age.map_or_else(|| "-".to_owned(), |it| it.as_millis().to_string());
        let (knowledge, newest) = (self.knowledge().name(), confirmation.newest());
        format!("knowledge={knowledge} newest={newest} confirmed_ms={age}")
    }
}

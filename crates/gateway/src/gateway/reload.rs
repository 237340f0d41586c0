//! Replacement of the settings while the daemon runs.

use std::rc::Rc;

use super::Gateway;
use crate::settings::Settings;

impl Gateway {
    /// Puts new settings in force, but for the fields that hold until the daemon is restarted; returns
    /// the names of those that differ.
    pub fn reload(&self, new: Settings) -> Vec<&'static str> {
        let (settings, kept) = self.settings().reload(new);
        *self.settings.borrow_mut() = Rc::new(settings);
        for it in self.dispatchers() {
            let slow_start = *it.service.borrow().slow_start();
            self.set_slow_start(&it, slow_start.duration, slow_start.warmup_per_s);
        }
        self.share_budgets(self.now());
        kept
    }
}

//! The last check before an order is sent.

use std::sync::Arc;

use order::{Event, Key};

use crate::orders::Driver;

/// The last check before an order is sent, which allows it to be sent once.
#[derive(Clone)]
pub struct Guard {
    driver: Arc<Driver>,
    key: Key,
}

impl Guard {
    /// Creates the guard of an order that may run.
    #[must_use]
    pub fn new(driver: Arc<Driver>, key: Key) -> Self {
        Self { driver, key }
    }

    /// Whether the order may be sent now. After `true` it counts as sent.
    #[must_use]
    pub fn may_send(&self) -> bool {
        self.driver.permit(&self.key)
    }

    /// Records that the order provably didn't reach the backend server's handler.
    pub fn not_sent(&self) {
        self.driver.handle(Event::Unsent(self.key));
    }
}

//! The last look before an order is sent.

use std::sync::Arc;

use order::{Event, Key};

use crate::orders::Driver;

/// The last look before an order is sent: it may go out once.
#[derive(Clone)]
pub struct Gate {
    driver: Arc<Driver>,
    key: Key,
}

impl Gate {
    /// The gate of an order that was let run.
    #[must_use]
    pub fn new(driver: Arc<Driver>, key: Key) -> Self {
        Self { driver, key }
    }

    /// Whether the order may be sent now. After a yes it counts as sent.
    #[must_use]
    pub fn opens(&self) -> bool {
        self.driver.permit(&self.key)
    }

    /// Notes that the backend server's handler provably got nothing of it.
    pub fn unsent(&self) {
        self.driver.handle(Event::Unsent(self.key));
    }
}

//! A request that counts as in flight at an upstream.

use std::{rc::Rc, time::Instant};

use super::Desk;
use crate::{load::Outcome, registry::Registration};

/// A request that counts as in flight at an upstream until it is landed or dropped.
pub struct Flight {
    desk: Rc<Desk>,
    registration: Registration,
    serial: u64,
    started: Instant,
    landed: bool,
}

impl Flight {
    pub(super) fn new(
        desk: Rc<Desk>,
        registration: Registration,
        serial: u64,
        started: Instant,
    ) -> Self {
        Self { desk, registration, serial, started, landed: false }
    }

    /// The upstream that was chosen.
    #[must_use]
    pub fn upstream(&self) -> &Registration {
        &self.registration
    }

    /// Number of the request at its upstream.
    #[must_use]
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// When the upstream was chosen.
    #[must_use]
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Whether the upstream still takes new work; it may have begun to leave since the choice.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        let service = self.desk.service.borrow();
        service.get(&self.registration.id).is_some_and(|it| {
            it.accepts_requests() && it.registration.is_same_incarnation(&self.registration)
        })
    }

    /// Tells how the request ended.
    pub fn land(mut self, now: Instant, outcome: Outcome) {
        self.end(now, outcome);
    }

    fn end(&mut self, now: Instant, outcome: Outcome) {
        self.landed = true;
        self.desk.service.borrow_mut().finish(now, &self.registration.id, self.serial, outcome);
        (self.desk.changed)(&self.registration.id);
        self.desk.pump(now);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if !self.landed {
            self.end(self.desk.clock.now(), Outcome::Cancelled);
        }
    }
}

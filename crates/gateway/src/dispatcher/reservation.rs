//! Reserved capacity at an upstream.

use std::{rc::Rc, time::Instant};

use super::Dispatcher;
use crate::{load::Outcome, registry::Registration};

/// Reserved capacity at an upstream for one request, which counts as in flight there until this is
/// finished or dropped.
pub struct Reservation {
    dispatcher: Rc<Dispatcher>,
    registration: Registration,
    serial: u64,
    started: Instant,
    is_finished: bool,
}

impl Reservation {
    pub(super) fn new(
        dispatcher: Rc<Dispatcher>,
        registration: Registration,
        serial: u64,
        started: Instant,
    ) -> Self {
        Self { dispatcher, registration, serial, started, is_finished: false }
    }

    /// The chosen upstream.
    #[must_use]
    pub fn upstream(&self) -> &Registration {
        &self.registration
    }

    /// Serial of the request in flight.
    #[must_use]
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// When the upstream was chosen.
    #[must_use]
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Whether the upstream still accepts new requests; it may have begun to leave since the
    /// choice.
    #[must_use]
    pub fn accepts_requests(&self, now: Instant) -> bool {
        let service = self.dispatcher.service.borrow();
        service.get(&self.registration.id).is_some_and(|it| {
            it.accepts_requests(now) && it.registration.is_same_incarnation(&self.registration)
        })
    }

    /// Ends the reservation with the outcome of the request.
    pub fn finish(mut self, now: Instant, outcome: Outcome) {
        self.record_outcome(now, outcome);
    }

    fn record_outcome(&mut self, now: Instant, outcome: Outcome) {
        self.is_finished = true;
        self.dispatcher.service.borrow_mut().finish(
            now,
            &self.registration.id,
            self.serial,
            outcome,
        );
        (self.dispatcher.on_load_change)(&self.registration.id);
        self.dispatcher.serve_queue(now);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.is_finished {
            self.record_outcome(self.dispatcher.clock.now(), Outcome::Cancelled);
        }
    }
}

//! A request in work.

use std::rc::Rc;

use crate::{
    decision::{SUCCESS, Trail},
    gateway::Gateway,
};

/// A request in work; counted and logged when it ends, also when its caller goes away.
pub struct Work {
    gateway: Rc<Gateway>,
    /// What was decided so far.
    pub trail: Trail,
    has_ended: bool,
}

impl Work {
    /// Begins a request.
    #[must_use]
    pub fn new(gateway: &Rc<Gateway>, trail: Trail) -> Self {
        gateway.in_work.set(gateway.in_work.get() + 1);
        gateway.taken.set(gateway.taken.get() + 1);
        Self { gateway: Rc::clone(gateway), trail, has_ended: false }
    }

    /// Ends the request with the status told to its caller.
    pub fn end(mut self, status: u16) {
        self.note(status);
    }

    fn note(&mut self, status: u16) {
        self.has_ended = true;
        let gateway = &self.gateway;
        let now = gateway.now();
        let took = now.saturating_duration_since(self.trail.received);
        let route = self.trail.route.as_deref().unwrap_or_default();
        gateway.metrics.count(route, status, self.trail.reason, took);
        let settings = gateway.settings();
        let kind = self.trail.kind(status);
        let limit = if kind == SUCCESS {
            settings.success_lines_per_s
        } else {
            settings.failure_lines_per_s
        };
        if gateway.journal.borrow_mut().admits(now, kind, limit) {
            log::info!(target: "request", "{}", self.trail.line(status, now));
        }
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        if !self.has_ended {
            self.trail.reason = "caller-left";
            self.note(0);
        }
        self.gateway.in_work.set(self.gateway.in_work.get().saturating_sub(1));
    }
}

//! Accounting of requests in progress.

use std::rc::Rc;

use crate::{
    decision::{Origin, SUCCESS, Trace},
    gateway::Gateway,
};

/// A request in progress. It is counted and logged when it ends, also when the caller closes the
/// connection.
pub struct Guard {
    gateway: Rc<Gateway>,
    /// Decisions taken so far.
    pub trace: Trace,
    is_finished: bool,
}

impl Guard {
    /// Starts the accounting of a request.
    #[must_use]
    pub fn new(gateway: &Rc<Gateway>, trace: Trace) -> Self {
        gateway.in_progress.set(gateway.in_progress.get() + 1);
        gateway.request_count.set(gateway.request_count.get() + 1);
        Self { gateway: Rc::clone(gateway), trace, is_finished: false }
    }

    /// Ends the request with the status sent to its caller.
    pub fn finish(mut self, status: u16) {
        self.record(status);
    }

    fn record(&mut self, status: u16) {
        self.is_finished = true;
        let gateway = &self.gateway;
        let now = gateway.now();
        let took = now.saturating_duration_since(self.trace.received);
        let route = self.trace.route.as_deref().unwrap_or_default();
        gateway.metrics.count(route, status, self.trace.reason, took);
        let (origin, reason) = (self.trace.origin, self.trace.reason);
        gateway.metrics.count_denial(status, origin, reason, || gateway.knowledge());
        if let Some(it) = &self.trace.tenant {
            gateway.metrics.count_tenant(it, status);
        }
        let settings = gateway.settings();
        let kind = self.trace.kind(status);
        let limit = if kind == SUCCESS {
            settings.success_lines_per_s
        } else {
            settings.failure_lines_per_s
        };
        if gateway.log_limiter.borrow_mut().allows(now, kind, limit) {
            let line = self.trace.log_line(status, now);
            match status {
                300..500 if self.trace.origin == Origin::Daemon => {
                    log::info!(target: "request", "{line} {}", gateway.knowledge_text());
                }
                _ => log::info!(target: "request", "{line}"),
            }
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.trace.reason = "caller-left";
            self.record(0);
        }
        self.gateway.in_progress.set(self.gateway.in_progress.get().saturating_sub(1));
    }
}

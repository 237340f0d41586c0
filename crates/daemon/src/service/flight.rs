//! An attempt in flight to an upstream.

use std::sync::Arc;

use balance::{Dispatch, UpstreamId};

use crate::service::Service;

/// An attempt in flight; counts as cancelled if it is dropped before it lands.
#[must_use = "the attempt is cancelled when the flight is dropped"]
pub struct Flight {
    service: Arc<Service>,
    dispatch: Option<Dispatch>,
    /// Figures of the chosen upstream.
    pub chosen: balance::Candidate,
    runner_up: Option<balance::Candidate>,
    weighed: u32,
}

impl Flight {
    /// The attempt that a choice starts.
    pub fn new(service: Arc<Service>, choice: balance::Choice) -> Self {
        let balance::Choice { dispatch, chosen, runner_up, weighed } = choice;
        Self { service, dispatch: Some(dispatch), chosen, runner_up, weighed }
    }

    /// Upstream that was chosen.
    #[must_use]
    pub fn upstream(&self) -> &UpstreamId {
        &self.chosen.upstream
    }

    /// Tells the balancer how the attempt ended.
    pub fn land(mut self, answer: balance::Completion) {
        if let Some(it) = self.dispatch.take() {
            self.service.land(it, answer);
        }
    }

    /// The candidates and their figures, for the log.
    #[must_use]
    pub fn reason(&self) -> String {
        let mut res = format!("{} weighed; {}", self.weighed, figures(&self.chosen));
        if let Some(it) = &self.runner_up {
            res.push_str("; before ");
            res.push_str(&figures(it));
        }
        res
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let Some(it) = self.dispatch.take() else { return };
        let latency = self.service.clock.now().saturating_duration_since(it.at());
        let outcome = balance::Outcome::Cancelled;
        self.service.land(it, balance::Completion { outcome, latency, report: None });
    }
}

fn figures(it: &balance::Candidate) -> String {
    let expected = it.expected.as_micros();
    format!("{} expected {expected} us, own {}, others {:.1}", it.upstream, it.own, it.others)
}

//! An attempt in flight at an upstream.

use std::sync::Arc;

use balance::{Dispatch, UpstreamId};

use crate::service::Service;

/// An attempt in flight; it counts as cancelled if it is dropped before [`InFlight::finish`].
#[must_use = "the attempt counts as cancelled when this is dropped"]
pub struct InFlight {
    service: Arc<Service>,
    dispatch: Option<Dispatch>,
    /// Chosen upstream with its score.
    pub chosen: balance::Candidate,
    runner_up: Option<balance::Candidate>,
    weighed: u32,
}

impl InFlight {
    /// Creates the attempt for a choice of the balancer.
    pub fn new(service: Arc<Service>, choice: balance::Choice) -> Self {
        let balance::Choice { dispatch, chosen, runner_up, weighed } = choice;
        Self { service, dispatch: Some(dispatch), chosen, runner_up, weighed }
    }

    /// Returns the chosen upstream.
    #[must_use]
    pub fn upstream(&self) -> &UpstreamId {
        &self.chosen.upstream
    }

    /// Reports the result of the attempt to the balancer.
    pub fn finish(mut self, completion: balance::Completion) {
        if let Some(it) = self.dispatch.take() {
            self.service.finish(it, completion);
        }
    }

    /// Returns the candidates and their scores, for the decision record.
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

impl Drop for InFlight {
    fn drop(&mut self) {
        let Some(it) = self.dispatch.take() else { return };
        let latency = self.service.clock.now().saturating_duration_since(it.at());
        let outcome = balance::Outcome::Cancelled;
        self.service.finish(it, balance::Completion { outcome, latency, report: None });
    }
}

fn figures(it: &balance::Candidate) -> String {
    let expected = it.expected.as_micros();
    format!("{} expected {expected} us, own {}, others {:.1}", it.upstream, it.own, it.others)
}

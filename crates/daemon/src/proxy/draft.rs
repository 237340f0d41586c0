//! The decision record of a request in progress.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;

use crate::{
    caller::reply::Outcome,
    decision::{Attempt, Decision, micros, millis},
    id,
    proxy::{Plan, Result},
    state::State,
    upstream::attempt::Answer,
};

/// Reason of a decision whose caller disconnected before the reply.
const CALLER_GONE: &str = "caller-gone";

/// The decision record of a request in progress. It is recorded once, when dropped, however the
/// request ends.
pub struct Draft {
    decision: Option<Decision>,
    state: Arc<State>,
    accepted: Instant,
}

impl Draft {
    /// Creates a draft for the request `id`, accepted now.
    #[must_use]
    pub fn new(state: &Arc<State>, id: id::Request) -> Self {
        let mut decision = Decision::new(id);
        decision.reason = CALLER_GONE;
        Self { decision: Some(decision), state: Arc::clone(state), accepted: state.clock.now() }
    }

    /// Sets the fields that the plan determines.
    pub fn set_plan(&mut self, plan: &Plan) {
        let Some(it) = &mut self.decision else { return };
        it.caller = plan.caller.to_string();
        it.route = plan.route.config.id.to_string();
        it.service = plan.route.config.service.to_string();
        it.rank = plan.route.config.rank.to_string();
        it.version = plan.version;
    }

    /// Sets how long the request waited for a slot.
    pub fn set_queue_time(&mut self, waited: Duration) {
        let Some(it) = &mut self.decision else { return };
        it.queued_us = micros(waited);
    }

    /// Adds a finished attempt.
    pub fn add_attempt(&mut self, attempt: Attempt) {
        let Some(it) = &mut self.decision else { return };
        it.attempts.push(attempt);
    }

    /// Sets how long ago the document that a refusal rests on was known to be the newest.
    pub fn set_document_age(&mut self, age: Option<Duration>) {
        let Some(it) = &mut self.decision else { return };
        it.document_age_ms = age.map(millis);
    }

    /// Sets outcome, status and reason of the reply.
    pub fn set_outcome(&mut self, outcome: Outcome, status: StatusCode, reason: &'static str) {
        let Some(it) = &mut self.decision else { return };
        it.outcome = outcome.as_str();
        it.status = status.as_u16();
        it.reason = reason;
    }

    /// Sets outcome, status and reason from the result of the request.
    pub fn set_reply(&mut self, res: &Result<Answer>) {
        match res {
            Ok(it) => self.set_outcome(Outcome::Done, it.status, ""),
            Err(it) => self.set_outcome(it.outcome, it.status, it.reason),
        }
    }

    /// Moves the decision into a new draft, for a task that outlives the caller's connection.
    #[must_use]
    pub fn detach(&mut self, state: &Arc<State>, id: id::Request) -> Self {
        let mut res = Self::new(state, id);
        res.accepted = self.accepted;
        if let Some(it) = self.decision.take() {
            res.decision = Some(it);
        }
        res
    }

    /// Moves the decision back from the task's draft.
    pub fn reattach(&mut self, mut detached: Self) {
        self.decision = detached.decision.take();
    }
}

impl Drop for Draft {
    fn drop(&mut self) {
        let Some(mut it) = self.decision.take() else { return };
        it.took_us = micros(self.state.clock.now().saturating_duration_since(self.accepted));
        self.state.metrics.count(&it);
        self.state.recorder.record(it);
    }
}

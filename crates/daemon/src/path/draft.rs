//! A decision in the making; recorded once, however its request ends.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;

use crate::{
    caller::reply::Outcome,
    decision::{Attempt, Decision, micros},
    id,
    path::{Plan, Result},
    state::State,
    upstream::attempt::Answer,
};

/// Reason of a decision whose caller went away before the reply.
const CALLER_GONE: &str = "caller-gone";

/// A decision in the making; recorded when dropped.
pub struct Draft {
    decision: Option<Decision>,
    state: Arc<State>,
    accepted: Instant,
}

impl Draft {
    /// A draft for the request `id`, accepted now.
    #[must_use]
    pub fn new(state: &Arc<State>, id: id::Request) -> Self {
        let mut decision = Decision::new(id);
        decision.reason = CALLER_GONE;
        Self { decision: Some(decision), state: Arc::clone(state), accepted: state.clock.now() }
    }

    /// Notes the plan.
    pub fn plan(&mut self, plan: &Plan) {
        let Some(it) = &mut self.decision else { return };
        it.caller = plan.caller.to_string();
        it.route = plan.route.config.id.to_string();
        it.service = plan.route.config.service.to_string();
        it.rank = plan.route.config.rank.to_string();
        it.version = plan.version;
    }

    /// Notes how long the request waited for a slot.
    pub fn queued(&mut self, waited: Duration) {
        let Some(it) = &mut self.decision else { return };
        it.queued_us = micros(waited);
    }

    /// Notes an attempt; until the request is closed it may have run.
    pub fn attempt(&mut self, attempt: Attempt) {
        let Some(it) = &mut self.decision else { return };
        it.attempts.push(attempt);
    }

    /// Notes the outcome that the caller is told.
    pub fn close(&mut self, outcome: Outcome, status: StatusCode, reason: &'static str) {
        let Some(it) = &mut self.decision else { return };
        it.outcome = outcome.as_str();
        it.status = status.as_u16();
        it.reason = reason;
    }

    /// Notes what the caller is told.
    pub fn close_with(&mut self, res: &Result<Answer>) {
        match res {
            Ok(it) => self.close(Outcome::Done, it.status, ""),
            Err(it) => self.close(it.outcome, it.status, it.reason),
        }
    }

    /// Moves the decision to a task that outlives the caller's connection.
    #[must_use]
    pub fn detach(&mut self, state: &Arc<State>, id: id::Request) -> Self {
        let mut res = Self::new(state, id);
        res.accepted = self.accepted;
        if let Some(it) = self.decision.take() {
            res.decision = Some(it);
        }
        res
    }

    /// Takes the decision back from the task.
    pub fn join(&mut self, mut detached: Self) {
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

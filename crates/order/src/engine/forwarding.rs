//! Forwarding of requests to other incarnations, and recovery of those incarnations' journals.

use std::time::Instant;

use super::Engine;
use crate::{
    Failure, Incarnation, Key, Outcome, Reason, Session, Stream, Submission, Ticket,
    action::Action,
    forward::{Forward, Stage},
    recovery::Recovery,
    session::Journal,
};

impl Engine {
    /// Forwards a request, unless its outcome was recovered from the log or another host forwarded
    /// it here.
    pub(super) fn forward(&mut self, it: &Submission, to: Incarnation, actions: &mut Vec<Action>) {
        if it.forwarded {
            actions.push(Action::Reply(it.ticket, Outcome::Unknown(Reason::IssuerGone)));
            return;
        }
        let known = self.recovered_outcome(it);
        if let Some(outcome @ (Outcome::Done(_) | Outcome::NotRun(_) | Outcome::Unkept)) = known {
            actions.push(Action::Reply(it.ticket, outcome));
            return;
        }
        let forward = Forward {
            key: it.key,
            fingerprint: it.fingerprint,
            deadline: it.deadline,
            to,
            stage: Stage::AwaitingReply,
        };
        self.forwards.insert(it.ticket, forward);
        actions.push(Action::Forward(it.ticket, to));
    }

    pub(super) fn answer_forward(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if outcome == Outcome::Unknown(Reason::IssuerGone) {
            self.fail_forward(ticket, true, now, actions);
        } else if let Some(forward) = self.forwards.remove(&ticket) {
            self.suspicion.record_answer(forward.to);
            actions.push(Action::Reply(ticket, outcome));
        }
    }

    /// Retries until the issuer is suspected, as it may only be slow, and then recovers its
    /// journal.
    pub(super) fn fail_forward(
        &mut self,
        ticket: Ticket,
        gone: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Self { settings, forwards, suspicion, .. } = self;
        let Some(forward) = forwards.get_mut(&ticket) else { return };
        let is_suspected = suspicion.record_failure(forward.to, settings.suspect_after, now);
        if gone || is_suspected {
            self.recover(ticket, actions);
        } else {
            forward.stage = Stage::Backoff { until: now + settings.forward_interval };
        }
    }

    /// Revokes the issuer of a journaled order, which makes its journal final. The outcome of any
    /// other order can't be recovered.
    fn recover(&mut self, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(forward) = self.forwards.get_mut(&ticket) else { return };
        let Key::Numbered { session: Session { journal: Journal::From(base), .. }, .. } =
            forward.key
        else {
            self.answer_unknown(ticket, actions);
            return;
        };
        forward.stage = Stage::Recovering;
        let to = forward.to;
        if self.recoveries.get(&to).is_some_and(|it| it.covers(base)) {
            self.conclude_recovery(to, actions);
        } else if self.log_up && self.may_revoke() {
            self.start_recovery(to, base, actions);
        } else {
            self.answer_unknown(ticket, actions);
        }
    }

    /// Whether another revocation may be started. The limit keeps forged sessions from using up the
    /// appends that valid ones need.
    fn may_revoke(&self) -> bool {
        let in_progress = self.recoveries.values().filter(|it| !it.is_sealed()).count();
        in_progress < self.settings.revocation_limit
    }

    fn start_recovery(&mut self, of: Incarnation, from: u64, actions: &mut Vec<Action>) {
        let stream = Stream::Orders(of);
        let was_sealed = self.recoveries.get(&of).is_some_and(Recovery::is_sealed);
        if self.recoveries.insert(of, Recovery::new(from)).is_none() {
            self.recovery_order.push_back(of);
        }
        if !was_sealed {
            self.batcher.push_revocation(of);
        }
        actions.push(Action::Follow(stream, from));
        if self.recovery_order.len() > self.settings.recovery_limit
            && let Some(oldest) = self.recovery_order.pop_front()
        {
            self.recoveries.remove(&oldest);
            actions.push(Action::Unfollow(Stream::Orders(oldest)));
            self.answer_recovering_unknown(oldest, actions);
        }
    }

    /// Answers the requests that wait for the journal of an incarnation, once it is sealed.
    pub(super) fn conclude_recovery(&mut self, of: Incarnation, actions: &mut Vec<Action>) {
        let Some(recovery) = self.recoveries.get(&of).filter(|it| it.is_sealed()) else { return };
        for ticket in self.recovering_tickets(of) {
            let Some(forward) = self.forwards.remove(&ticket) else { continue };
            let outcome = recovery.outcome(&forward.key, forward.fingerprint);
            actions.push(Action::Reply(ticket, outcome));
        }
    }

    pub(super) fn fail_revocation(
        &mut self,
        of: Incarnation,
        failure: Failure,
        actions: &mut Vec<Action>,
    ) {
        let is_sealed = self.recoveries.get(&of).is_some_and(Recovery::is_sealed);
        if failure == Failure::Unknown || is_sealed {
            return;
        }
        self.recoveries.remove(&of);
        self.recovery_order.retain(|it| *it != of);
        actions.push(Action::Unfollow(Stream::Orders(of)));
        self.answer_recovering_unknown(of, actions);
    }

    /// Answers a request whose outcome can't be determined.
    pub(super) fn answer_unknown(&mut self, ticket: Ticket, actions: &mut Vec<Action>) {
        self.forwards.remove(&ticket);
        actions.push(Action::Reply(ticket, Outcome::Unknown(Reason::IssuerGone)));
    }

    fn answer_recovering_unknown(&mut self, of: Incarnation, actions: &mut Vec<Action>) {
        for ticket in self.recovering_tickets(of) {
            self.answer_unknown(ticket, actions);
        }
    }

    fn recovering_tickets(&self, of: Incarnation) -> Vec<Ticket> {
        self.forwards
            .iter()
            .filter(|(_, it)| it.to == of && it.stage == Stage::Recovering)
            .map(|(ticket, _)| *ticket)
            .collect()
    }

    fn recovered_outcome(&self, it: &Submission) -> Option<Outcome> {
        let issuer = it.key.issuer()?;
        let recovery = self.recoveries.get(&issuer).filter(|it| it.is_sealed())?;
        Some(recovery.outcome(&it.key, it.fingerprint))
    }
}

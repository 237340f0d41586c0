//! Requests that belong to another incarnation, and what is recovered of it from the log.

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
    /// Passes a request on, unless the log has told its outcome or another host passed it on to us.
    pub(super) fn pass_on(&mut self, it: &Submission, to: Incarnation, acts: &mut Vec<Action>) {
        if it.forwarded {
            acts.push(Action::Reply(it.ticket, Outcome::Unknown(Reason::IssuerGone)));
            return;
        }
        let known = self.recovered_outcome(it);
        if let Some(outcome @ (Outcome::Done(_) | Outcome::NotRun(_) | Outcome::Unkept)) = known {
            acts.push(Action::Reply(it.ticket, outcome));
            return;
        }
        let forward = Forward {
            key: it.key,
            fingerprint: it.fingerprint,
            deadline: it.deadline,
            to,
            stage: Stage::Calling,
        };
        self.forwards.insert(it.ticket, forward);
        acts.push(Action::Forward(it.ticket, to));
    }

    pub(super) fn answer_forward(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        now: Instant,
        acts: &mut Vec<Action>,
    ) {
        if outcome == Outcome::Unknown(Reason::IssuerGone) {
            self.fail_forward(ticket, true, now, acts);
        } else if let Some(forward) = self.forwards.remove(&ticket) {
            self.suspicion.clear(forward.to);
            acts.push(Action::Reply(ticket, outcome));
        }
    }

    /// Tries again for a while, as the issuer may only be slow, then turns to the log.
    pub(super) fn fail_forward(
        &mut self,
        ticket: Ticket,
        gone: bool,
        now: Instant,
        acts: &mut Vec<Action>,
    ) {
        let Self { settings, forwards, suspicion, .. } = self;
        let Some(forward) = forwards.get_mut(&ticket) else { return };
        let is_silent = suspicion.fail(forward.to, settings.suspect_after, now);
        if gone || is_silent {
            self.recover(ticket, acts);
        } else {
            forward.stage = Stage::Pausing { until: now + settings.forward_interval };
        }
    }

    /// Revokes the issuer of a journaled order, so that its journal is final; for other orders
    /// nothing certain is left to be found.
    fn recover(&mut self, ticket: Ticket, acts: &mut Vec<Action>) {
        let Some(forward) = self.forwards.get_mut(&ticket) else { return };
        let Key::Numbered { session: Session { journal: Journal::From(base), .. }, .. } =
            forward.key
        else {
            self.drop_forward(ticket, acts);
            return;
        };
        forward.stage = Stage::Recovering;
        let to = forward.to;
        if self.recoveries.get(&to).is_some_and(|it| it.covers(base)) {
            self.conclude_recovery(to, acts);
        } else if self.log_up && self.may_revoke() {
            self.start_recovery(to, base, acts);
        } else {
            self.drop_forward(ticket, acts);
        }
    }

    /// Whether another revocation may be under way. Sessions can be made up, and must not take the
    /// log's appends away from true ones.
    fn may_revoke(&self) -> bool {
        let under_way = self.recoveries.values().filter(|it| !it.is_sealed()).count();
        under_way < self.settings.revocation_limit
    }

    fn start_recovery(&mut self, of: Incarnation, from: u64, acts: &mut Vec<Action>) {
        let stream = Stream::Orders(of);
        let was_sealed = self.recoveries.get(&of).is_some_and(Recovery::is_sealed);
        if self.recoveries.insert(of, Recovery::new(from)).is_none() {
            self.recovered.push_back(of);
        }
        if !was_sealed {
            self.batcher.push_revocation(of);
        }
        acts.push(Action::Follow(stream, from));
        if self.recovered.len() > self.settings.recovery_limit
            && let Some(oldest) = self.recovered.pop_front()
        {
            self.recoveries.remove(&oldest);
            acts.push(Action::Unfollow(Stream::Orders(oldest)));
            self.drop_recovering(oldest, acts);
        }
    }

    /// Answers the requests that waited for the journal of an incarnation.
    pub(super) fn conclude_recovery(&mut self, of: Incarnation, acts: &mut Vec<Action>) {
        let Some(recovery) = self.recoveries.get(&of).filter(|it| it.is_sealed()) else { return };
        for ticket in self.recovering(of) {
            let Some(forward) = self.forwards.remove(&ticket) else { continue };
            let outcome = recovery.outcome(&forward.key, forward.fingerprint);
            acts.push(Action::Reply(ticket, outcome));
        }
    }

    pub(super) fn fail_revocation(
        &mut self,
        of: Incarnation,
        landing: Failure,
        acts: &mut Vec<Action>,
    ) {
        let is_sealed = self.recoveries.get(&of).is_some_and(Recovery::is_sealed);
        if landing == Failure::Unknown || is_sealed {
            return;
        }
        self.recoveries.remove(&of);
        self.recovered.retain(|it| *it != of);
        acts.push(Action::Unfollow(Stream::Orders(of)));
        self.drop_recovering(of, acts);
    }

    /// Answers a request of which nothing certain can be found out.
    pub(super) fn drop_forward(&mut self, ticket: Ticket, acts: &mut Vec<Action>) {
        self.forwards.remove(&ticket);
        acts.push(Action::Reply(ticket, Outcome::Unknown(Reason::IssuerGone)));
    }

    fn drop_recovering(&mut self, of: Incarnation, acts: &mut Vec<Action>) {
        for ticket in self.recovering(of) {
            self.drop_forward(ticket, acts);
        }
    }

    fn recovering(&self, of: Incarnation) -> Vec<Ticket> {
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

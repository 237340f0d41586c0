//! Handling of submitted requests.

use std::time::Instant;

use super::Engine;
use crate::{
    Fingerprint, Incarnation, Key, Number, Outcome, Reason, Session, Submission, Ticket,
    action::Action,
    batcher::Pending,
    claims::Owner,
    entry::{Entry, Phase, Waiter},
    session::Journal,
};

impl Engine {
    pub(super) fn submit(&mut self, it: &Submission, now: Instant, actions: &mut Vec<Action>) {
        match it.key {
            Key::Numbered { session, number } => {
                self.submit_numbered(it, session, number, now, actions);
            }
            Key::Own(digest) => self.submit_own(it, digest, now, actions),
        }
    }

    fn submit_numbered(
        &mut self,
        it: &Submission,
        session: Session,
        number: Number,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if !self.issuers.contains_key(&session.incarnation) {
            self.forward(it, session.incarnation, actions);
            return;
        }
        self.acknowledge(session, it.acknowledged);
        if self.store.get(&it.key).is_some() {
            self.handle_repeat(it, actions);
            return;
        }
        if let Err(outcome) = self.check_new(session, number, now) {
            actions.push(Action::Reply(it.ticket, outcome));
            return;
        }
        self.accept(it, now, actions);
    }

    /// Checks whether a number that was never seen may be accepted.
    ///
    /// Each `not-run` here must hold permanently, because a delayed copy of the order may still
    /// arrive. So a session that has refused a number because of the session's own state accepts no
    /// new number afterwards.
    fn check_new(&mut self, session: Session, number: Number, now: Instant) -> Result<(), Outcome> {
        let window = self.settings.window;
        let issuer = self.issuers.get_mut(&session.incarnation);
        let is_revoked = issuer.as_ref().is_none_or(|it| it.revoked);
        let grant = issuer
            .and_then(|it| it.grant_mut(&session))
            .ok_or(Outcome::Unknown(Reason::SessionUnknown))?;
        if number <= grant.acknowledged {
            return Err(Outcome::Unknown(Reason::Acknowledged));
        }
        if grant.closed || grant.expires <= now {
            return Err(Outcome::NotRun(Reason::SessionEnded));
        }
        if number > grant.acknowledged + window {
            grant.closed = true;
            return Err(Outcome::NotRun(Reason::Window));
        }
        if is_revoked && session.journal != Journal::Off {
            return Err(Outcome::NotRun(Reason::Revoked));
        }
        Ok(())
    }

    fn acknowledge(&mut self, session: Session, number: Number) {
        let grant =
            self.issuers.get_mut(&session.incarnation).and_then(|it| it.grant_mut(&session));
        let Some(grant) = grant.filter(|it| it.acknowledged < number) else { return };
        grant.acknowledged = number;
        self.remove_finished(session, number);
    }

    fn submit_own(
        &mut self,
        it: &Submission,
        digest: u128,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.store.get(&it.key).is_some() {
            self.handle_repeat(it, actions);
            return;
        }
        if let Some(owner) = self.claims.get(digest) {
            self.handle_claimed(it, owner, actions);
            return;
        }
        let can_claim = self.log_up
            && !it.forwarded
            && !self.claims.is_blocked(now)
            && self.store.len() < self.settings.claim_limit;
        if !can_claim {
            actions.push(Action::Reply(it.ticket, Outcome::Unknown(Reason::Undecided)));
            return;
        }
        self.accept(it, now, actions);
    }

    /// Handles a request whose key was first claimed by `owner` and whose order isn't stored here.
    pub(super) fn handle_claimed(
        &mut self,
        it: &Submission,
        owner: Owner,
        actions: &mut Vec<Action>,
    ) {
        if owner.fingerprint != it.fingerprint {
            actions.push(Action::Reply(it.ticket, Outcome::NotRun(Reason::Mismatch)));
        } else if self.issuers.contains_key(&owner.incarnation) {
            actions.push(Action::Reply(it.ticket, Outcome::Unknown(Reason::SessionUnknown)));
        } else {
            self.forward(it, owner.incarnation, actions);
        }
    }

    /// Stores a new order, and starts it immediately if no record has to be appended first.
    fn accept(&mut self, it: &Submission, now: Instant, actions: &mut Vec<Action>) {
        let runner = Waiter { ticket: it.ticket, deadline: it.deadline };
        let phase = Phase::Queued;
        let entry = Entry { fingerprint: it.fingerprint, runner, phase, waiters: Vec::new() };
        self.store.insert(it.key, entry);
        let pending = Pending { key: it.key, fingerprint: it.fingerprint };
        if matches!(it.key, Key::Own(_)) {
            self.batcher.push_claim(pending);
        } else if !it.key.is_journaled() {
            self.make_ready(&it.key, actions);
        } else if self.log_up {
            self.batcher.push_started(pending);
        } else {
            self.finish(&it.key, &Outcome::NotRun(Reason::Journal), now, actions);
        }
    }

    /// Starts an order through the request that submitted it.
    pub(super) fn make_ready(&mut self, key: &Key, actions: &mut Vec<Action>) {
        actions.extend(self.store.make_ready(key).map(|it| Action::Start(it, *key)));
    }

    /// Answers a request whose order is stored here, or adds it to the order's waiters.
    fn handle_repeat(&mut self, it: &Submission, actions: &mut Vec<Action>) {
        let limit = self.settings.waiter_limit;
        let Some(entry) = self.store.get(&it.key) else { return };
        let outcome = if entry.fingerprint != it.fingerprint {
            mismatch(&it.key, entry)
        } else if let Phase::Finished(outcome) = &entry.phase {
            outcome.clone()
        } else if entry.waiters.len() >= limit {
            Outcome::Unknown(Reason::Pending)
        } else {
            self.store.add_waiter(&it.key, Waiter { ticket: it.ticket, deadline: it.deadline });
            return;
        };
        actions.push(Action::Reply(it.ticket, outcome));
    }

    /// Removes an order whose key another incarnation claimed first, and forwards its requests.
    pub(super) fn forward_to_owner(
        &mut self,
        key: Key,
        owner: Incarnation,
        fingerprint: Fingerprint,
        actions: &mut Vec<Action>,
    ) {
        self.batcher.withdraw(&key);
        let Some(mut entry) = self.store.remove(&key) else { return };
        let owner = Owner { incarnation: owner, fingerprint };
        for waiter in entry.take_waiters() {
            let it = resubmission(key, entry.fingerprint, waiter);
            self.handle_claimed(&it, owner, actions);
        }
    }

    pub(super) fn handle_disconnect(
        &mut self,
        ticket: Ticket,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.forwards.remove(&ticket);
        for key in self.store.remove_waiter(ticket) {
            self.abort(key, Reason::Refused, now, actions);
        }
    }

    /// Ends an order that still waits for the log. Its number is never used again. A caller's own
    /// key may have been claimed by another host, so its outcome is uncertain; the order stays
    /// stored only if its claim may still be read.
    pub(super) fn abort(
        &mut self,
        key: Key,
        reason: Reason,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let may_be_read = self.store.get(&key).is_some_and(|it| it.phase == Phase::Appended);
        let outcome = match key {
            Key::Numbered { .. } => Outcome::NotRun(reason),
            Key::Own(_) => Outcome::Unknown(Reason::Undecided),
        };
        self.finish(&key, &outcome, now, actions);
        let Key::Own(digest) = key else { return };
        if may_be_read {
            self.claims.abandon(digest, now);
        } else {
            self.store.remove(&key);
        }
    }
}

/// The outcome of a request whose key is used by a different request: `not-run` if the key is known
/// to belong to the other request, else `unknown`.
fn mismatch(key: &Key, entry: &Entry) -> Outcome {
    let is_undecided = matches!(key, Key::Own(_))
        && (entry.is_waiting_for_log()
            || entry.phase == Phase::Finished(Outcome::Unknown(Reason::Undecided)));
    if is_undecided {
        Outcome::Unknown(Reason::Mismatch)
    } else {
        Outcome::NotRun(Reason::Mismatch)
    }
}

fn resubmission(key: Key, fingerprint: Fingerprint, waiter: Waiter) -> Submission {
    let Waiter { ticket, deadline } = waiter;
    Submission { ticket, key, fingerprint, deadline, acknowledged: 0, forwarded: false }
}

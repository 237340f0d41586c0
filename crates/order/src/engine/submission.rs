//! Requests with a key as they come in.

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
    pub(super) fn submit(&mut self, it: &Submission, now: Instant, acts: &mut Vec<Action>) {
        match it.key {
            Key::Numbered { session, number } => {
                self.submit_numbered(it, session, number, now, acts);
            }
            Key::Own(digest) => self.submit_own(it, digest, now, acts),
        }
    }

    fn submit_numbered(
        &mut self,
        it: &Submission,
        session: Session,
        number: Number,
        now: Instant,
        acts: &mut Vec<Action>,
    ) {
        if !self.issuers.contains_key(&session.incarnation) {
            self.pass_on(it, session.incarnation, acts);
            return;
        }
        self.acknowledge(session, it.acknowledged);
        if self.store.get(&it.key).is_some() {
            self.repeat(it, acts);
            return;
        }
        if let Err(outcome) = self.check_new(session, number, now) {
            acts.push(Action::Reply(it.ticket, outcome));
            return;
        }
        self.begin(it, now, acts);
    }

    /// Whether a number that was never seen may be taken.
    ///
    /// Each `not-run` here must hold for good, as a delayed copy of the order may still come. So a
    /// session that refuses one new number for its own sake takes no new number ever after.
    fn check_new(&mut self, session: Session, number: Number, now: Instant) -> Result<(), Outcome> {
        let window = self.settings.window;
        let issuer = self.issuers.get_mut(&session.incarnation);
        let retired = issuer.as_ref().is_none_or(|it| it.retired);
        let tenure = issuer
            .and_then(|it| it.tenure_mut(&session))
            .ok_or(Outcome::Unknown(Reason::SessionUnknown))?;
        if number <= tenure.floor {
            return Err(Outcome::Unknown(Reason::Acknowledged));
        }
        if tenure.closed || tenure.expires <= now {
            return Err(Outcome::NotRun(Reason::SessionEnded));
        }
        if number > tenure.floor + window {
            tenure.closed = true;
            return Err(Outcome::NotRun(Reason::Window));
        }
        if retired && session.journal != Journal::Off {
            return Err(Outcome::NotRun(Reason::Revoked));
        }
        Ok(())
    }

    fn acknowledge(&mut self, session: Session, number: Number) {
        let tenure =
            self.issuers.get_mut(&session.incarnation).and_then(|it| it.tenure_mut(&session));
        let Some(tenure) = tenure.filter(|it| it.floor < number) else { return };
        tenure.floor = number;
        self.forget_orders(session, number);
    }

    fn submit_own(&mut self, it: &Submission, digest: u128, now: Instant, acts: &mut Vec<Action>) {
        if self.store.get(&it.key).is_some() {
            self.repeat(it, acts);
            return;
        }
        if let Some(owner) = self.claims.get(digest) {
            self.follow_owner(it, owner, acts);
            return;
        }
        let decidable = self.log_up
            && !it.forwarded
            && !self.claims.is_blocked(now)
            && self.store.len() < self.settings.claim_limit;
        if !decidable {
            acts.push(Action::Reply(it.ticket, Outcome::Unknown(Reason::Undecided)));
            return;
        }
        self.begin(it, now, acts);
    }

    /// Handles a request whose key was claimed first by `owner`, and isn't held here.
    pub(super) fn follow_owner(&mut self, it: &Submission, owner: Owner, acts: &mut Vec<Action>) {
        if owner.fingerprint != it.fingerprint {
            acts.push(Action::Reply(it.ticket, Outcome::NotRun(Reason::Mismatch)));
        } else if self.issuers.contains_key(&owner.incarnation) {
            acts.push(Action::Reply(it.ticket, Outcome::Unknown(Reason::SessionUnknown)));
        } else {
            self.pass_on(it, owner.incarnation, acts);
        }
    }

    /// Holds a new order, and starts it at once if nothing has to be appended first.
    fn begin(&mut self, it: &Submission, now: Instant, acts: &mut Vec<Action>) {
        let runner = Waiter { ticket: it.ticket, deadline: it.deadline };
        let phase = Phase::Queued;
        let entry = Entry { fingerprint: it.fingerprint, runner, phase, waiters: Vec::new() };
        self.store.insert(it.key, entry);
        let pending = Pending { key: it.key, fingerprint: it.fingerprint };
        if matches!(it.key, Key::Own(_)) {
            self.batcher.push_claim(pending);
        } else if !it.key.is_journaled() {
            self.make_ready(&it.key, acts);
        } else if self.log_up {
            self.batcher.push_started(pending);
        } else {
            self.finish(&it.key, &Outcome::NotRun(Reason::Journal), now, acts);
        }
    }

    /// Lets the request that brought an order run it.
    pub(super) fn make_ready(&mut self, key: &Key, acts: &mut Vec<Action>) {
        acts.extend(self.store.make_ready(key).map(|it| Action::Start(it, *key)));
    }

    /// Answers a request whose key is held here, or lets it wait.
    fn repeat(&mut self, it: &Submission, acts: &mut Vec<Action>) {
        let limit = self.settings.waiter_limit;
        let Some(entry) = self.store.get(&it.key) else { return };
        let outcome = if entry.fingerprint != it.fingerprint {
            mismatch(&it.key, entry)
        } else if let Phase::Finished(outcome) = &entry.phase {
            outcome.clone()
        } else if entry.waiters.len() >= limit {
            Outcome::Unknown(Reason::Pending)
        } else {
            self.store.wait(&it.key, Waiter { ticket: it.ticket, deadline: it.deadline });
            return;
        };
        acts.push(Action::Reply(it.ticket, outcome));
    }

    /// Removes an order whose key another incarnation claimed first, and passes its requests on.
    pub(super) fn yield_to(
        &mut self,
        key: Key,
        owner: Incarnation,
        fingerprint: Fingerprint,
        acts: &mut Vec<Action>,
    ) {
        self.batcher.withdraw(&key);
        let Some(mut entry) = self.store.remove(&key) else { return };
        let owner = Owner { incarnation: owner, fingerprint };
        for waiter in entry.take_waiters() {
            let it = resubmission(key, entry.fingerprint, waiter);
            self.follow_owner(&it, owner, acts);
        }
    }

    pub(super) fn abandon(&mut self, ticket: Ticket, now: Instant, acts: &mut Vec<Action>) {
        self.forwards.remove(&ticket);
        for key in self.store.abandon(ticket) {
            self.give_up(key, Reason::Refused, now, acts);
        }
    }

    /// Ends an order that still waits for the log. Its number is never used again. A caller's own
    /// key may have been claimed by another host, so nothing certain can be said about it; it is
    /// held only if its claim may be read yet.
    pub(super) fn give_up(
        &mut self,
        key: Key,
        reason: Reason,
        now: Instant,
        acts: &mut Vec<Action>,
    ) {
        let may_be_read = self.store.get(&key).is_some_and(|it| it.phase == Phase::Appended);
        let outcome = match key {
            Key::Numbered { .. } => Outcome::NotRun(reason),
            Key::Own(_) => Outcome::Unknown(Reason::Undecided),
        };
        self.finish(&key, &outcome, now, acts);
        let Key::Own(digest) = key else { return };
        if may_be_read {
            self.claims.abandon(digest, now);
        } else {
            self.store.remove(&key);
        }
    }
}

/// The outcome of a request that uses the key of another: it was certainly not run if the key is
/// known to belong to the other.
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

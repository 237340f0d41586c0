//! Timers: expiry, retries and due appends.

use std::time::Instant;

use super::Engine;
use crate::{
    Key, Outcome, Reason, Ticket,
    action::Action,
    entry::Phase,
    forward::{Forward, Stage},
};

impl Engine {
    /// When the engine next needs an event: [`Event::Tick`](crate::Event::Tick) if there is no
    /// other by then.
    #[must_use]
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let orders = self.store.waiting().flat_map(|(_, entry)| {
            let runner = entry.is_waiting_for_log().then_some(entry.runner.deadline);
            entry.waiters.iter().map(|it| it.deadline).chain(runner)
        });
        let forwards = self.forwards.values().map(next_wakeup_of);
        let append = self.batcher.next_wakeup(&self.settings, now);
        orders.chain(forwards).chain(append).min()
    }

    pub(super) fn run_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.expire_sessions(now);
        self.expire_claims(now);
        self.expire_orders(now, actions);
        self.expire_forwards(now, actions);
        self.flush(now, actions);
    }

    fn expire_claims(&mut self, now: Instant) {
        for digest in self.claims.expire(self.settings.claim_ttl, now) {
            self.store.remove(&Key::Own(digest));
        }
        for digest in self.claims.expire_abandoned(self.settings.claim_ttl, now) {
            self.remove_undecided(Key::Own(digest));
        }
    }

    fn remove_undecided(&mut self, key: Key) {
        let undecided = Phase::Finished(Outcome::Unknown(Reason::Undecided));
        if self.store.get(&key).is_some_and(|it| it.phase == undecided) {
            self.store.remove(&key);
        }
    }

    fn expire_orders(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let expired: Vec<Key> = self
            .store
            .waiting()
            .filter(|(_, it)| it.is_waiting_for_log() && it.runner.deadline <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.abort(key, Reason::Deadline, now, actions);
        }
        for ticket in self.store.expire_waiters(now) {
            actions.push(Action::Reply(ticket, Outcome::Unknown(Reason::Pending)));
        }
    }

    fn expire_forwards(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due: Vec<Ticket> = self
            .forwards
            .iter()
            .filter(|(_, it)| next_wakeup_of(it) <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in due {
            let Some(forward) = self.forwards.get_mut(&ticket) else { continue };
            if forward.deadline <= now {
                self.answer_unknown(ticket, actions);
            } else {
                forward.stage = Stage::AwaitingReply;
                actions.push(Action::Forward(ticket, forward.to));
            }
        }
    }

    /// Requests the appends that are due.
    fn flush(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some((append, keys)) = self.batcher.flush(self.current, &self.settings, now) {
            for key in keys {
                if let Some(entry) = self.store.get_mut(&key) {
                    entry.phase = Phase::Appended;
                }
            }
            actions.push(append);
        }
    }
}

fn next_wakeup_of(it: &Forward) -> std::time::Instant {
    match it.stage {
        Stage::Backoff { until } => until.min(it.deadline),
        Stage::AwaitingReply | Stage::Recovering => it.deadline,
    }
}

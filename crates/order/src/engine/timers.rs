//! What happens because time passes.

use std::time::Instant;

use super::Engine;
use crate::{
    Key, Outcome, Reason, Ticket,
    action::Action,
    entry::Phase,
    forward::{Forward, Stage},
};

impl Engine {
    /// When the engine next wants an event, [`Event::Tick`](crate::Event::Tick) if no other comes.
    #[must_use]
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let orders = self.store.waiting().flat_map(|(_, entry)| {
            let runner = entry.is_waiting_for_log().then_some(entry.runner.deadline);
            entry.waiters.iter().map(|it| it.deadline).chain(runner)
        });
        let forwards = self.forwards.values().map(next_deadline);
        let append = self.batcher.next_wakeup(&self.settings, now);
        orders.chain(forwards).chain(append).min()
    }

    pub(super) fn run_timers(&mut self, now: Instant, acts: &mut Vec<Action>) {
        self.expire_sessions(now);
        self.expire_claims(now);
        self.expire_orders(now, acts);
        self.expire_forwards(now, acts);
        self.flush(now, acts);
    }

    fn expire_claims(&mut self, now: Instant) {
        for digest in self.claims.expire(self.settings.claim_ttl, now) {
            self.store.remove(&Key::Own(digest));
        }
        for digest in self.claims.expire_abandoned(self.settings.claim_ttl, now) {
            self.forget_undecided(Key::Own(digest));
        }
    }

    fn forget_undecided(&mut self, key: Key) {
        let undecided = Phase::Finished(Outcome::Unknown(Reason::Undecided));
        if self.store.get(&key).is_some_and(|it| it.phase == undecided) {
            self.store.remove(&key);
        }
    }

    fn expire_orders(&mut self, now: Instant, acts: &mut Vec<Action>) {
        let late: Vec<Key> = self
            .store
            .waiting()
            .filter(|(_, it)| it.is_waiting_for_log() && it.runner.deadline <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            self.give_up(key, Reason::Deadline, now, acts);
        }
        for ticket in self.store.expire_waiters(now) {
            acts.push(Action::Reply(ticket, Outcome::Unknown(Reason::Pending)));
        }
    }

    fn expire_forwards(&mut self, now: Instant, acts: &mut Vec<Action>) {
        let due: Vec<Ticket> = self
            .forwards
            .iter()
            .filter(|(_, it)| next_deadline(it) <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in due {
            let Some(forward) = self.forwards.get_mut(&ticket) else { continue };
            if forward.deadline <= now {
                self.drop_forward(ticket, acts);
            } else {
                forward.stage = Stage::Calling;
                acts.push(Action::Forward(ticket, forward.to));
            }
        }
    }

    /// Appends what is due.
    fn flush(&mut self, now: Instant, acts: &mut Vec<Action>) {
        while let Some((append, keys)) = self.batcher.flush(self.current, &self.settings, now) {
            for key in keys {
                if let Some(entry) = self.store.get_mut(&key) {
                    entry.phase = Phase::Appended;
                }
            }
            acts.push(append);
        }
    }
}

fn next_deadline(it: &Forward) -> std::time::Instant {
    match it.stage {
        Stage::Pausing { until } => until.min(it.deadline),
        Stage::Calling | Stage::Recovering => it.deadline,
    }
}

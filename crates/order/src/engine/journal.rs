//! What comes back from the log: ends of appends, and records.

use std::time::Instant;

use super::Engine;
use crate::{
    Batch, Body, Claim, Failure, Fingerprint, Incarnation, Key, Offset, Outcome, Reason, Record,
    Started, Stream, Unreadable, action::Action, batcher::Content, claims::Owner, entry::Phase,
};

impl Engine {
    pub(super) fn fail_append(
        &mut self,
        batch: Batch,
        landing: Failure,
        now: Instant,
        acts: &mut Vec<Action>,
    ) {
        if landing == Failure::Refused {
            self.log_up = false;
        }
        match self.batcher.complete(batch) {
            Some(Content::Orders(keys)) => self.fail_orders(keys, landing, now, acts),
            Some(Content::Revocation(it)) => self.fail_revocation(it, landing, acts),
            None => {}
        }
    }

    /// Orders that were refused end now. A record that may have landed is waited for a little; if
    /// it is read later than that, the order has ended all the same.
    fn fail_orders(
        &mut self,
        keys: Vec<Key>,
        landing: Failure,
        now: Instant,
        acts: &mut Vec<Action>,
    ) {
        for key in keys {
            let Some(entry) = self.store.get_mut(&key) else { continue };
            if entry.phase != Phase::Appended {
                continue;
            }
            match landing {
                Failure::Refused => {
                    entry.phase = Phase::Queued;
                    self.give_up(key, Reason::Journal, now, acts);
                }
                Failure::Unknown => {
                    let grace = now + self.settings.append_grace;
                    entry.runner.deadline = entry.runner.deadline.min(grace);
                }
            }
        }
    }

    pub(super) fn read(
        &mut self,
        stream: Stream,
        offset: Offset,
        record: &[u8],
        now: Instant,
        acts: &mut Vec<Action>,
    ) {
        let body = Record::decode(record);
        if let Err(finding) = &body {
            acts.push(Action::Skipped { stream, offset, finding: finding.clone() });
        }
        match stream {
            Stream::Claims => self.read_claims(body, now, acts),
            Stream::Orders(it) if self.issuers.contains_key(&it) => {
                self.read_own(it, offset, body, now, acts);
            }
            Stream::Orders(it) => self.read_other(it, body, acts),
        }
    }

    /// Reads the stream of an own incarnation. A record that may be a revocation counts as one.
    fn read_own(
        &mut self,
        incarnation: Incarnation,
        offset: Offset,
        body: Result<Body, Unreadable>,
        now: Instant,
        acts: &mut Vec<Action>,
    ) {
        if let Some(issuer) = self.issuers.get_mut(&incarnation) {
            issuer.next = offset + 1;
        }
        match body {
            Ok(Body::Orders { started, .. }) => self.start_orders(incarnation, &started, acts),
            Ok(Body::Revoked { .. }) | Err(Unreadable::UnknownFormat) => {
                self.retire(incarnation, now, acts);
            }
            Ok(Body::Claims { .. }) | Err(Unreadable::Malformed(_)) => {}
        }
    }

    fn start_orders(
        &mut self,
        incarnation: Incarnation,
        started: &[Started],
        acts: &mut Vec<Action>,
    ) {
        let Some(issuer) = self.issuers.get(&incarnation).filter(|it| !it.retired) else { return };
        let keys: Vec<Key> = started
            .iter()
            .filter_map(|it| {
                let session = issuer.tenures.get(&it.nonce)?.session;
                Some(Key::Numbered { session, number: it.number })
            })
            .collect();
        for key in keys {
            if self.store.get(&key).is_some_and(|it| it.phase == Phase::Appended) {
                self.make_ready(&key, acts);
            }
        }
    }

    /// Ends all that an incarnation has not started, for good.
    pub(super) fn retire(
        &mut self,
        incarnation: Incarnation,
        now: Instant,
        acts: &mut Vec<Action>,
    ) {
        let Some(issuer) = self.issuers.get_mut(&incarnation).filter(|it| !it.retired) else {
            return;
        };
        issuer.retired = true;
        acts.push(Action::Unfollow(Stream::Orders(incarnation)));
        if incarnation == self.current {
            self.batcher.retire();
            acts.push(Action::StartIncarnation);
        }
        let ended: Vec<Key> = self
            .store
            .waiting()
            .filter(|(key, entry)| key.is_journaled() && entry.is_waiting_for_log())
            .filter(|(key, _)| key.issuer() == Some(incarnation))
            .map(|(key, _)| *key)
            .collect();
        for key in ended {
            self.finish(&key, &Outcome::NotRun(Reason::Revoked), now, acts);
        }
    }

    fn read_other(
        &mut self,
        incarnation: Incarnation,
        body: Result<Body, Unreadable>,
        acts: &mut Vec<Action>,
    ) {
        let Some(recovery) = self.recoveries.get_mut(&incarnation) else { return };
        match body {
            Ok(body) => recovery.read(body),
            Err(Unreadable::UnknownFormat) => recovery.mark_incomplete(),
            Err(Unreadable::Malformed(_)) => {}
        }
        if recovery.is_sealed() {
            acts.push(Action::Unfollow(Stream::Orders(incarnation)));
            self.conclude_recovery(incarnation, acts);
        }
    }

    fn read_claims(
        &mut self,
        body: Result<Body, Unreadable>,
        now: Instant,
        acts: &mut Vec<Action>,
    ) {
        match body {
            Ok(Body::Claims { owner, claims }) => {
                for claim in claims {
                    self.read_claim(owner, claim, now, acts);
                }
            }
            Err(Unreadable::UnknownFormat) => self.claims.block(self.settings.claim_ttl, now),
            Ok(_) | Err(Unreadable::Malformed(_)) => {}
        }
    }

    fn read_claim(
        &mut self,
        incarnation: Incarnation,
        claim: Claim,
        now: Instant,
        acts: &mut Vec<Action>,
    ) {
        let Claim { key: Fingerprint(digest), fingerprint } = claim;
        if self.claims.is_full(self.settings.claim_limit) {
            self.claims.block(self.settings.claim_ttl, now);
        }
        if !self.claims.insert(digest, Owner { incarnation, fingerprint }, now) {
            return;
        }
        let key = Key::Own(digest);
        let Some(entry) = self.store.get(&key) else { return };
        if !self.issuers.contains_key(&incarnation) || entry.fingerprint != fingerprint {
            self.yield_to(key, incarnation, fingerprint, acts);
            return;
        }
        let is_certain = !self.claims.is_blocked(now);
        match (&entry.phase, is_certain) {
            (Phase::Appended, true) => self.make_ready(&key, acts),
            (Phase::Finished(Outcome::Unknown(Reason::Undecided)), true) => {
                self.finish(&key, &Outcome::NotRun(Reason::Journal), now, acts);
            }
            (Phase::Appended, false) => self.give_up(key, Reason::Undecided, now, acts),
            _ => {}
        }
    }

    /// Records of a followed stream are gone: they may have held a revocation, or orders.
    pub(super) fn lose(
        &mut self,
        stream: Stream,
        first: Offset,
        now: Instant,
        acts: &mut Vec<Action>,
    ) {
        let Stream::Orders(incarnation) = stream else { return };
        match self.issuers.get(&incarnation) {
            Some(issuer) if issuer.next < first => self.retire(incarnation, now, acts),
            Some(_) => {}
            None => {
                if let Some(recovery) = self.recoveries.get_mut(&incarnation) {
                    recovery.mark_incomplete();
                }
            }
        }
    }
}

//! Handling of append results and of records read from the log.

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
        failure: Failure,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if failure == Failure::Refused {
            self.log_up = false;
        }
        match self.batcher.complete(batch) {
            Some(Content::Orders(keys)) => self.fail_orders(keys, failure, now, actions),
            Some(Content::Revocation(it)) => self.fail_revocation(it, failure, actions),
            None => {}
        }
    }

    /// Aborts orders whose append was refused. If the record may be in the log, waits for it for
    /// the append grace period; an order whose record is read later than that has already ended.
    fn fail_orders(
        &mut self,
        keys: Vec<Key>,
        failure: Failure,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        for key in keys {
            let Some(entry) = self.store.get_mut(&key) else { continue };
            if entry.phase != Phase::Appended {
                continue;
            }
            match failure {
                Failure::Refused => {
                    entry.phase = Phase::Queued;
                    self.abort(key, Reason::Journal, now, actions);
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
        actions: &mut Vec<Action>,
    ) {
        let body = Record::decode(record);
        if let Err(finding) = &body {
            actions.push(Action::Skipped { stream, offset, finding: finding.clone() });
        }
        match stream {
            Stream::Claims => self.read_claims(body, now, actions),
            Stream::Orders(it) if self.issuers.contains_key(&it) => {
                self.read_own(it, offset, body, now, actions);
            }
            Stream::Orders(it) => self.read_other(it, body, actions),
        }
    }

    /// Processes a record in the stream of one of this daemon's incarnations. A record of an
    /// unknown format may be a revocation, and is treated as one.
    fn read_own(
        &mut self,
        incarnation: Incarnation,
        offset: Offset,
        body: Result<Body, Unreadable>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if let Some(issuer) = self.issuers.get_mut(&incarnation) {
            issuer.next_offset = offset + 1;
        }
        match body {
            Ok(Body::Orders { started, .. }) => self.start_orders(incarnation, &started, actions),
            Ok(Body::Revoked { .. }) | Err(Unreadable::UnknownFormat) => {
                self.handle_revoked(incarnation, now, actions);
            }
            Ok(Body::Claims { .. }) | Err(Unreadable::Malformed(_)) => {}
        }
    }

    fn start_orders(
        &mut self,
        incarnation: Incarnation,
        started: &[Started],
        actions: &mut Vec<Action>,
    ) {
        let Some(issuer) = self.issuers.get(&incarnation).filter(|it| !it.revoked) else { return };
        let keys: Vec<Key> = started
            .iter()
            .filter_map(|it| {
                let session = issuer.grants.get(&it.nonce)?.session;
                Some(Key::Numbered { session, number: it.number })
            })
            .collect();
        for key in keys {
            if self.store.get(&key).is_some_and(|it| it.phase == Phase::Appended) {
                self.make_ready(&key, actions);
            }
        }
    }

    /// Handles the revocation of one of this daemon's incarnations: finishes all of its journaled
    /// orders that still wait for the log.
    pub(super) fn handle_revoked(
        &mut self,
        incarnation: Incarnation,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(issuer) = self.issuers.get_mut(&incarnation).filter(|it| !it.revoked) else {
            return;
        };
        issuer.revoked = true;
        actions.push(Action::Unfollow(Stream::Orders(incarnation)));
        if incarnation == self.current {
            self.batcher.clear_own_stream();
            actions.push(Action::StartIncarnation);
        }
        let revoked: Vec<Key> = self
            .store
            .waiting()
            .filter(|(key, entry)| key.is_journaled() && entry.is_waiting_for_log())
            .filter(|(key, _)| key.issuer() == Some(incarnation))
            .map(|(key, _)| *key)
            .collect();
        for key in revoked {
            self.finish(&key, &Outcome::NotRun(Reason::Revoked), now, actions);
        }
    }

    fn read_other(
        &mut self,
        incarnation: Incarnation,
        body: Result<Body, Unreadable>,
        actions: &mut Vec<Action>,
    ) {
        let Some(recovery) = self.recoveries.get_mut(&incarnation) else { return };
        match body {
            Ok(body) => recovery.read(body),
            Err(Unreadable::UnknownFormat) => recovery.mark_incomplete(),
            Err(Unreadable::Malformed(_)) => {}
        }
        if recovery.is_sealed() {
            actions.push(Action::Unfollow(Stream::Orders(incarnation)));
            self.conclude_recovery(incarnation, actions);
        }
    }

    fn read_claims(
        &mut self,
        body: Result<Body, Unreadable>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        match body {
            Ok(Body::Claims { owner, claims }) => {
                for claim in claims {
                    self.read_claim(owner, claim, now, actions);
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
        actions: &mut Vec<Action>,
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
            self.forward_to_owner(key, incarnation, fingerprint, actions);
            return;
        }
        let is_certain = !self.claims.is_blocked(now);
        match (&entry.phase, is_certain) {
            (Phase::Appended, true) => self.make_ready(&key, actions),
            (Phase::Finished(Outcome::Unknown(Reason::Undecided)), true) => {
                self.finish(&key, &Outcome::NotRun(Reason::Journal), now, actions);
            }
            (Phase::Appended, false) => self.abort(key, Reason::Undecided, now, actions),
            _ => {}
        }
    }

    /// Handles the loss of unread records of a followed stream, which may have contained a
    /// revocation or orders.
    pub(super) fn handle_trimmed(
        &mut self,
        stream: Stream,
        first: Offset,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Stream::Orders(incarnation) = stream else { return };
        match self.issuers.get(&incarnation) {
            Some(issuer) if issuer.next_offset < first => {
                self.handle_revoked(incarnation, now, actions);
            }
            Some(_) => {}
            None => {
                if let Some(recovery) = self.recoveries.get_mut(&incarnation) {
                    recovery.mark_incomplete();
                }
            }
        }
    }
}

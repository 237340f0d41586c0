//! The set of usable upstreams follows the records, also through store outages.

mod registration;

use std::time::{Duration, Instant};

use gateway::registry::{Change, Fold, Registration, Removal, Revision, State};
use registration::upstream;

const GRACE: Duration = Duration::from_secs(2);

fn put(id: &str, born_ms: u64) -> Change {
    Change::Put(upstream(id, born_ms))
}

fn removed(id: &str) -> Change {
    Change::Removed(Removal { id: id.into(), revision: Revision { born_ms: 1, seq: 1 } })
}

fn ids(fold: &Fold) -> Vec<String> {
    fold.entries().map(|it| it.id.to_string()).collect()
}

/// A heartbeat that repeats the registration is not a change.
#[test]
fn heartbeat_without_change() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    assert!(fold.apply(now, put("u", 1)).is_some());
    assert_eq!(fold.apply(now, put("u", 1)), None);
    let leaving = Registration { state: State::Leaving, ..upstream("u", 1) };
    assert!(fold.apply(now, Change::Put(leaving)).is_some());
}

#[test]
fn older_incarnation_ignored() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    fold.apply(now, put("u", 5));
    assert_eq!(fold.apply(now, put("u", 4)), None);
    assert!(fold.apply(now, put("u", 6)).is_some());
}

/// Without store failures, a removal takes effect when it is read.
#[test]
fn removal_applied_immediately() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    fold.apply(now, put("u", 1));
    assert_eq!(fold.apply(now, removed("u")), Some(removed("u")));
    assert!(ids(&fold).is_empty());
}

/// An entry that expired during a store outage and is written again within the grace period is
/// kept; one that is not written again is removed.
#[test]
fn expired_entry_returns() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    fold.apply(now, put("u", 1));
    fold.apply(now, put("v", 1));
    fold.store_failed();
    fold.store_answered(now);
    assert_eq!(fold.apply(now, removed("u")), None);
    assert_eq!(fold.apply(now, removed("v")), None);
    assert_eq!(ids(&fold), ["u", "v"]);
    fold.apply(now + GRACE / 2, put("u", 1));
    assert!(fold.tick(now + GRACE / 2).is_empty());
    assert_eq!(fold.tick(now + GRACE), [removed("v")]);
    assert_eq!(ids(&fold), ["u"]);
}

/// A host that alone could not reach the store kept removals pending for so long that requests
/// reached an upstream 2.6 s after it had left (`docs/incidents/doubted_removals.md`).
#[test]
fn peer_confirms_removal() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    fold.apply(now, put("u", 1));
    fold.store_failed();
    fold.store_answered(now);
    assert_eq!(fold.apply(now, removed("u")), None);
    assert!(!fold.trusts_removals(), "it must not relay what it has read");
    fold.peer_confirmed_store();
    assert_eq!(fold.tick(now), [removed("u")]);
    assert!(fold.trusts_removals());
}

/// A leaving upstream is removed also during a store outage, since its removal is expected.
#[test]
fn leaving_during_outage() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    fold.apply(now, Change::Put(Registration { state: State::Leaving, ..upstream("u", 1) }));
    fold.store_failed();
    assert_eq!(fold.apply(now, removed("u")), Some(removed("u")));
}

#[test]
fn full_list_replaces() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    fold.apply(now, put("u", 1));
    fold.apply(now, put("v", 1));
    let changes = fold.replace(now, vec![upstream("v", 1), upstream("w", 1)], 0, 9);
    assert_eq!(changes, [put("w", 1), removed("u")]);
    assert_eq!(fold.end(), 9);
    assert!(fold.replace(now, Vec::new(), 0, 8).is_empty(), "an older list is ignored");
}

/// The digest depends on the entries only, not on the order or number of changes.
#[test]
fn digest_of_entries() {
    let now = Instant::now();
    let mut one = Fold::new(GRACE);
    let mut other = Fold::new(GRACE);
    one.apply(now, put("u", 1));
    one.apply(now, put("v", 2));
    other.apply(now, put("v", 1));
    other.apply(now, put("x", 1));
    other.apply(now, put("u", 1));
    other.apply(now, removed("x"));
    assert_ne!(one.digest(), other.digest());
    other.apply(now, put("v", 2));
    assert_eq!(one.digest(), other.digest());
}

/// Two daemons at the same offset differ for longer than the allowed time.
#[test]
fn divergence_detected() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    fold.apply(now, put("u", 1));
    fold.advance(7);
    let other = fold.digest().wrapping_add(1);
    assert!(!fold.check_divergence(now, 7, other));
    assert!(
        !fold.check_divergence(now + Duration::from_millis(900), 6, other),
        "the peer is only behind"
    );
    assert!(!fold.check_divergence(now + Duration::from_secs(1), 7, other));
    assert!(fold.check_divergence(now + Duration::from_millis(2_100), 7, other));
    assert_eq!(fold.end(), 0, "the next read starts over");
}

/// Daemons that start compared their registries, in full, with those of peers that had only read further.
#[test]
fn differs_when_read_equally_far() {
    let mut fold = Fold::new(GRACE);
    fold.apply(Instant::now(), put("u", 1));
    let (same, other) = (fold.digest(), fold.digest().wrapping_add(1));
    assert!(!fold.differs(0, other), "nothing has been read to its end");
    fold.advance(7);
    assert!(!fold.differs(6, other));
    assert!(!fold.differs(8, other));
    assert!(!fold.differs(7, same));
    assert!(fold.differs(7, other));
}

/// An upstream becomes cold again, and warm. Its other heartbeats in between are no changes, although
/// the time in them shrinks.
#[test]
fn cold_again() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    let mut is_change = |seconds| {
        let cold_for = Duration::from_secs(seconds);
        fold.apply(now, Change::Put(Registration { cold_for, ..upstream("u", 1) })).is_some()
    };
    assert!(is_change(0), "new");
    let changes = [0, 5, 4, 1, 0, 0, 3, 6].map(&mut is_change);
    assert_eq!(changes, [false, true, false, false, true, false, true, true]);
}

/// A daemon that starts took an address that the sender of the snapshot had replaced already: daemons
/// update the snapshot for peers, and compare registries, by the digest alone.
#[test]
fn digest_of_changes() {
    let now = Instant::now();
    let base = upstream("u", 1);
    let changes = [
        Registration { address: "10.0.0.2:80".parse().unwrap(), ..base.clone() },
        Registration { service: "other".into(), ..base.clone() },
        Registration { domain: "other".into(), ..base.clone() },
        Registration { slots: base.slots + 1, ..base.clone() },
    ];
    for changed in changes {
        let mut fold = Fold::new(GRACE);
        fold.apply(now, put("u", 1));
        let before = fold.digest();
        assert!(fold.apply(now, Change::Put(changed.clone())).is_some());
        assert_ne!(fold.digest(), before, "{changed:?}");
        fold.apply(now, put("u", 1));
        assert_eq!(fold.digest(), before, "{changed:?}");
    }
}

fn written(born_ms: u64, seq: u64, state: State) -> Change {
    Change::Put(Registration { seq, state, ..upstream("u", born_ms) })
}

fn state(fold: &Fold) -> Option<State> {
    fold.entries().next().map(|it| it.state)
}

/// A write that the store executed late made a leaving upstream ready again
/// (`docs/incidents/late_heartbeat.md`).
#[test]
fn late_write() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    fold.apply(now, written(1, 1, State::Ready));
    assert!(fold.apply(now, written(1, 4, State::Leaving)).is_some());
    assert_eq!(fold.apply(now, written(1, 2, State::Ready)), None);
    assert_eq!(state(&fold), Some(State::Leaving));
    // By a relay, and in a list of the store.
    assert_eq!(fold.apply_from_peer(written(1, 3, State::Ready)), None);
    let late = Registration { seq: 3, ..upstream("u", 1) };
    assert!(fold.replace(now, vec![late], 0, 9).is_empty());
    assert_eq!(state(&fold), Some(State::Leaving));
    assert!(fold.apply(now, written(1, 5, State::Ready)).is_some(), "it may change its mind");
}

/// A late write brought back an upstream whose entry had been removed
/// (`docs/incidents/late_heartbeat.md`).
#[test]
fn late_write_after_removal() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    fold.apply(now, written(1, 4, State::Leaving));
    fold.apply(now, removed("u"));
    assert_eq!(fold.apply(now, written(1, 3, State::Ready)), None);
    let late = Registration { seq: 3, ..upstream("u", 1) };
    fold.replace(now, vec![late], 0, 9);
    assert_eq!(state(&fold), None);
    // A removal that was late itself ends with the next heartbeat.
    assert!(fold.apply(now, written(1, 5, State::Ready)).is_some());
    fold.apply(now, removed("u"));
    // The counts of a new start begin anew.
    assert!(fold.apply(now, written(2, 1, State::Ready)).is_some());
    assert_eq!(fold.apply(now, written(1, 9, State::Ready)), None);
    fold.apply(now, removed("u"));
    assert_eq!(fold.apply(now, written(1, 9, State::Ready)), None);
}

/// A late write is no sign of life of an upstream whose removal is pending.
#[test]
fn late_write_while_pending() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    fold.apply(now, written(1, 4, State::Ready));
    fold.store_failed();
    fold.store_answered(now);
    assert_eq!(fold.apply(now, removed("u")), None);
    assert_eq!(fold.apply(now, written(1, 3, State::Ready)), None);
    assert!(fold.is_removal_pending("u"));
    fold.tick(now + GRACE);
    assert_eq!(state(&fold), None);
}

/// Peers are not sent each heartbeat, so a removal tells them which revision was removed.
#[test]
fn relayed_removal() {
    let now = Instant::now();
    let [mut reader, mut peer] = [Fold::new(GRACE), Fold::new(GRACE)];
    let first = reader.apply(now, written(1, 1, State::Ready)).unwrap();
    peer.apply_from_peer(first);
    assert_eq!(reader.apply(now, written(1, 9, State::Ready)), None);
    let unknown = Removal { id: "u".into(), revision: Revision::default() };
    let removal = reader.apply(now, reader.complete(Change::Removed(unknown))).unwrap();
    peer.apply_from_peer(removal);
    assert_eq!(peer.apply(now, written(1, 8, State::Ready)), None);
    assert!(peer.apply(now, written(1, 10, State::Ready)).is_some());
}

/// A daemon that reads the whole registry behind a late write took the upstream for ready
/// (`docs/incidents/late_heartbeat.md`).
#[test]
fn peer_knows_better() {
    let now = Instant::now();
    let late = |id| Registration { seq: 2, ..upstream(id, 1) };
    let other = || Registration { seq: 7, ..upstream("w", 1) };
    let mut fold = Fold::new(GRACE);
    fold.replace(now, vec![late("u"), late("v"), other()], 0, 9);
    let leaving = Registration { seq: 4, state: State::Leaving, ..upstream("u", 1) };
    let revision = Revision { born_ms: 1, seq: 4 };
    let removal = |id: &str| Removal { id: id.into(), revision };
    let older = Registration { seq: 3, state: State::Leaving, ..upstream("w", 1) };
    let changes = fold.merge(vec![leaving.clone(), older], vec![removal("v"), removal("w")]);
    assert_eq!(changes, [Change::Removed(removal("v")), Change::Put(leaving)]);
    assert_eq!(fold.apply(now, Change::Put(late("v"))), None);
    assert_eq!(ids(&fold), ["u", "w"]);
}

/// Without the time of its start, a lower number may be that of a new start.
#[test]
fn unknown_start() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    fold.apply(now, written(0, 9, State::Leaving));
    assert!(fold.apply(now, written(0, 1, State::Ready)).is_some());
}

/// What a read from a peer removed stayed in use, as its removals were taken over apart from the list.
#[test]
fn removed_by_peer() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    fold.replace(now, vec![upstream("u", 1), upstream("v", 1)], 0, 9);
    let removal = Removal { id: "u".into(), revision: Revision { born_ms: 1, seq: 4 } };
    let changes = fold.adopt(now, vec![upstream("v", 1)], vec![removal.clone()], 0, 12);
    assert_eq!(changes, [Change::Removed(removal)]);
    assert_eq!(ids(&fold), ["v"]);
}

/// Removals that peers repeated took the room of others, whose entries a late write then brought back.
#[test]
fn repeated_removals() {
    let now = Instant::now();
    let revision = Revision { born_ms: 1, seq: 4 };
    let removal = |id: &str| Removal { id: id.into(), revision };
    let mut fold = Fold::new(GRACE);
    fold.merge(Vec::new(), vec![removal("u")]);
    for _ in 0..5_000 {
        fold.merge(Vec::new(), vec![removal("v")]);
    }
    assert_eq!(fold.apply(now, put("u", 1)), None);
    assert_eq!(fold.newest_removals(10).len(), 2);
}

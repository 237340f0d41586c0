//! The registry when the store comes back from an older copy. No network is used.

mod registration;

use std::time::{Duration, Instant};

use gateway::registry::{Change, Fold, REWRITE_TIME, Registration, Removal, Revision, State};
use registration::upstream;

const GRACE: Duration = Duration::from_secs(2);

fn removed(id: &str) -> Change {
    Change::Removed(Removal { id: id.into(), revision: Revision { born_ms: 1, seq: 1 } })
}

fn leaving(id: &str) -> Registration {
    Registration { state: State::Leaving, ..upstream(id, 1) }
}

fn ready_ids(fold: &Fold) -> Vec<&str> {
    fold.entries().filter(|it| it.state == State::Ready).map(|it| &*it.id).collect()
}

/// A registry read up to offset 12, with an upstream in use, one that leaves and one that was removed.
fn registry(now: Instant) -> Fold {
    let mut res = Fold::new(GRACE);
    res.replace(now, vec![upstream("u", 1), leaving("l"), upstream("r", 1)], 0, 11);
    res.apply(now, removed("r"));
    res.advance(12);
    res
}

/// The list of a later era replaces one that ends at a higher offset, and not the other way round.
#[test]
fn lower_end() {
    let now = Instant::now();
    let mut fold = registry(now);
    let changes = fold.replace(now, vec![upstream("u", 1), upstream("v", 1)], 2, 10);
    assert!(changes.contains(&Change::Put(upstream("v", 1))));
    assert_eq!((fold.era(), fold.end()), (2, 10));
    assert!(fold.replace(now, vec![upstream("w", 1)], 0, 99).is_empty());
    assert_eq!((fold.era(), fold.end()), (2, 10));
}

/// An upstream that the copy lacks stays in use for the grace period and is gone after it.
#[test]
fn missing_entry() {
    let now = Instant::now();
    let mut fold = registry(now);
    fold.replace(now, Vec::new(), 2, 10);
    assert!(!fold.trusts_removals());
    fold.tick(now + GRACE.mul_f64(0.99));
    assert_eq!(ready_ids(&fold), ["u"]);
    assert_eq!(fold.tick(now + GRACE), [removed("u")]);
}

/// A daemon that starts in a later era doesn't know whether it has just begun.
#[test]
fn first_read() {
    let now = Instant::now();
    let mut fold = Fold::new(GRACE);
    fold.replace(now, vec![upstream("u", 1)], 2, 10);
    assert_eq!(fold.apply(now, removed("u")), None);
    assert_eq!(fold.tick(now + GRACE), [removed("u")]);
}

/// Upstreams that had left and that the copy lists as ready are used only once the time to write again
/// has passed, and not at all if their leaving is written again.
#[test]
fn revived_entries() {
    let now = Instant::now();
    let mut fold = registry(now);
    let copy = || vec![upstream("u", 1), upstream("l", 1), upstream("r", 1)];
    fold.replace(now, copy(), 2, 10);
    assert_eq!(ready_ids(&fold), ["u"]);
    // Another drill, and a list that is read once more.
    for era in [3, 3] {
        fold.replace(now, copy(), era, 10);
        assert_eq!(ready_ids(&fold), ["u"]);
    }
    fold.apply(now, removed("r"));
    let later = now + REWRITE_TIME;
    fold.tick(now + REWRITE_TIME.mul_f64(0.99));
    assert_eq!(ready_ids(&fold), ["u"]);
    assert_eq!(fold.tick(later), [Change::Put(upstream("l", 1))]);
    assert_eq!(ready_ids(&fold), ["l", "u"]);
}

/// A record of the later era, or a later start under the same id, is no revival.
#[test]
fn written_again() {
    let now = Instant::now();
    let mut fold = registry(now);
    fold.replace(now, vec![upstream("l", 2), upstream("r", 1)], 2, 10);
    assert_eq!(ready_ids(&fold), ["l", "u"]);
    fold.apply(now, Change::Put(upstream("r", 1)));
    assert_eq!(ready_ids(&fold), ["l", "r", "u"]);
}

//! When hosts write snapshots.

mod util;

use std::time::{Duration, Instant};

use document::{
    Fold,
    snapshot::{self, Duty, Settings},
};
use util::{first, publish, set};

const HOSTS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const SETTINGS: Settings =
    Settings { records: 10, age: Duration::from_mins(30), spread: Duration::from_secs(30) };

/// Lets six hosts look once a second for `time`; each sees at once what another wrote. Returns how
/// many snapshots were written.
fn written(duties: &mut [Duty], fold: &Fold, start: Instant, time: Duration) -> usize {
    let mut count = 0;
    for second in 0..time.as_secs() {
        let now = start + Duration::from_secs(second);
        for writer in 0..duties.len() {
            if duties[writer].is_due(fold, now) {
                count += 1;
                let record = snapshot::encode(fold, second);
                see(duties, &record, now, second);
            }
        }
    }
    count
}

fn see(duties: &mut [Duty], record: &[u8], now: Instant, wall_s: u64) {
    for duty in duties {
        duty.see(record, now, wall_s);
    }
}

fn duties() -> Vec<Duty> {
    HOSTS.iter().map(|it| Duty::new(it, SETTINGS)).collect()
}

#[test]
fn empty_document() {
    let count = written(&mut duties(), &Fold::default(), Instant::now(), Duration::from_hours(2));
    assert_eq!(count, 0);
}

#[test]
fn one_writes() {
    let (mut duties, mut fold, start) = (duties(), first(), Instant::now());
    let minute = Duration::from_mins(1);
    assert_eq!(written(&mut duties, &fold, start, minute), 1);
    for _ in 0..9 {
        publish(&mut fold, "ops", vec![set("[team new]")]);
    }
    assert_eq!(written(&mut duties, &fold, start + minute, minute), 0);
    publish(&mut fold, "ops", vec![set("[team new]")]);
    assert_eq!(written(&mut duties, &fold, start + 2 * minute, minute), 1);
}

/// The newest snapshot is written anew before the log drops it, though nothing changed.
#[test]
fn age_counts() {
    let (mut duties, fold, start) = (duties(), first(), Instant::now());
    assert_eq!(written(&mut duties, &fold, start, Duration::from_mins(95)), 4);
}

/// Hosts that restart more often than a snapshot grows old still write one in time.
#[test]
fn restarts_counted() {
    let (fold, start) = (first(), Instant::now() + Duration::from_hours(1));
    let record = snapshot::encode(&fold, 0);
    let age_s = SETTINGS.age.as_secs();
    let mut fresh = duties();
    see(&mut fresh, &record, start, age_s - 90);
    assert_eq!(written(&mut fresh, &fold, start, Duration::from_mins(1)), 0);
    let mut fresh = duties();
    see(&mut fresh, &record, start, age_s);
    assert_eq!(written(&mut fresh, &fold, start, Duration::from_mins(1)), 1);
}

/// A host looks at the newest snapshot before it writes; an old one that it knew doesn't start the
/// wait anew.
#[test]
fn old_one_seen() {
    let (fold, start) = (first(), Instant::now() + Duration::from_hours(2));
    let record = snapshot::encode(&fold, 0);
    let mut duty = Duty::new("a", SETTINGS);
    let is_due = |second: u64| {
        let (now, wall_s) = (start + Duration::from_secs(second), 3_600 + second);
        duty.see(&record, now, wall_s);
        duty.is_due(&fold, now)
    };
    assert!((0..60).any(is_due));
}

#[test]
fn damaged_ignored() {
    let (fold, now) = (first(), Instant::now());
    let mut duty = Duty::new("a", Settings { spread: Duration::ZERO, ..SETTINGS });
    let record = snapshot::encode(&fold, 0);
    duty.see(&record[..record.len() - 1], now, 0);
    assert!(duty.is_due(&fold, now));
    duty.see(&record, now, 0);
    assert!(!duty.is_due(&fold, now));
}

//! When hosts append snapshots.

mod util;

use std::time::{Duration, Instant};

use document::{
    Fold,
    snapshot::{self, Schedule, Settings},
};
use util::{first, publish, set};

const HOSTS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const SETTINGS: Settings = Settings {
    max_records: 10,
    max_age: Duration::from_mins(30),
    max_jitter: Duration::from_secs(30),
};

/// Polls all hosts once per second for `time`; each observes the others' snapshots at once. Returns
/// the number of snapshots written.
fn count_written(schedules: &mut [Schedule], fold: &Fold, start: Instant, time: Duration) -> usize {
    let mut count = 0;
    for second in 0..time.as_secs() {
        let now = start + Duration::from_secs(second);
        for writer in 0..schedules.len() {
            if schedules[writer].is_due(fold, now) {
                count += 1;
                let record = snapshot::encode(fold, second);
                observe(schedules, &record, now, second);
            }
        }
    }
    count
}

fn observe(schedules: &mut [Schedule], record: &[u8], now: Instant, wall_s: u64) {
    for schedule in schedules {
        schedule.observe(record, now, wall_s);
    }
}

fn schedules() -> Vec<Schedule> {
    HOSTS.iter().map(|it| Schedule::new(it, SETTINGS)).collect()
}

#[test]
fn empty_document() {
    let count =
        count_written(&mut schedules(), &Fold::default(), Instant::now(), Duration::from_hours(2));
    assert_eq!(count, 0);
}

#[test]
fn one_writes() {
    let (mut schedules, mut fold, start) = (schedules(), first(), Instant::now());
    let minute = Duration::from_mins(1);
    assert_eq!(count_written(&mut schedules, &fold, start, minute), 1);
    for _ in 0..9 {
        publish(&mut fold, "ops", vec![set("[team new]")]);
    }
    assert_eq!(count_written(&mut schedules, &fold, start + minute, minute), 0);
    publish(&mut fold, "ops", vec![set("[team new]")]);
    assert_eq!(count_written(&mut schedules, &fold, start + 2 * minute, minute), 1);
}

/// A new snapshot is written before the log drops the newest one, even if nothing changed.
#[test]
fn age_counts() {
    let (mut schedules, fold, start) = (schedules(), first(), Instant::now());
    assert_eq!(count_written(&mut schedules, &fold, start, Duration::from_mins(95)), 4);
}

/// Hosts that restart more often than `max_age` still write a snapshot in time.
#[test]
fn restarts_counted() {
    let (fold, start) = (first(), Instant::now() + Duration::from_hours(1));
    let record = snapshot::encode(&fold, 0);
    let max_age_s = SETTINGS.max_age.as_secs();
    let mut restarted = schedules();
    observe(&mut restarted, &record, start, max_age_s - 90);
    assert_eq!(count_written(&mut restarted, &fold, start, Duration::from_mins(1)), 0);
    let mut restarted = schedules();
    observe(&mut restarted, &record, start, max_age_s);
    assert_eq!(count_written(&mut restarted, &fold, start, Duration::from_mins(1)), 1);
}

/// A host reads the newest snapshot before it writes; reading one that it already observed doesn't
/// reset the delay.
#[test]
fn old_snapshot_observed() {
    let (fold, start) = (first(), Instant::now() + Duration::from_hours(2));
    let record = snapshot::encode(&fold, 0);
    let mut schedule = Schedule::new("a", SETTINGS);
    let is_due = |second: u64| {
        let (now, wall_s) = (start + Duration::from_secs(second), 3_600 + second);
        schedule.observe(&record, now, wall_s);
        schedule.is_due(&fold, now)
    };
    assert!((0..60).any(is_due));
}

#[test]
fn damaged_ignored() {
    let (fold, now) = (first(), Instant::now());
    let mut schedule = Schedule::new("a", Settings { max_jitter: Duration::ZERO, ..SETTINGS });
    let record = snapshot::encode(&fold, 0);
    schedule.observe(&record[..record.len() - 1], now, 0);
    assert!(schedule.is_due(&fold, now));
    schedule.observe(&record, now, 0);
    assert!(!schedule.is_due(&fold, now));
}

//! Where a replica starts, and how it handles damaged snapshots and lost or trimmed records.

mod util;

use document::{
    Fold, Offset, Replica, publication,
    replica::{Progress, State},
    snapshot,
};
use util::{first, publication as make, publish, set};

/// A log with two streams, whose oldest records can be trimmed.
#[derive(Clone, Default)]
struct Log {
    records: Vec<Vec<u8>>,
    records_first: usize,
    snapshots: Vec<Vec<u8>>,
    snapshots_first: usize,
}

impl Log {
    /// A log of `count` accepted publications, and its fold.
    fn new(count: usize) -> (Self, Fold) {
        let (mut log, mut fold) = (Self::default(), Fold::default());
        for it in 0..count {
            let record =
                make(&format!("p{it}"), "ops", fold.end(), vec![set(util::FIRST)]).encode();
            fold.apply(fold.end(), &record);
            log.records.push(record);
        }
        (log, fold)
    }

    fn snapshot(&mut self, end: usize) {
        let mut fold = Fold::default();
        for (offset, record) in self.records[..end].iter().enumerate() {
            fold.apply(offset as Offset, record);
        }
        self.snapshots.push(snapshot::encode(&fold, 0));
    }

    fn answer(&self, replica: &mut Replica) -> Option<Progress> {
        let request = replica.request()?;
        let (records, first) = match request.stream {
            publication::STREAM => (&self.records, self.records_first),
            snapshot::STREAM => (&self.snapshots, self.snapshots_first),
            other => panic!("no stream {other}"),
        };
        let from = usize::try_from(request.from).expect("a small offset").min(records.len());
        if from < first {
            return Some(replica.on_trimmed());
        }
        let found = records[from..].iter().zip(from as Offset..).take(request.limit.min(3));
        let found: Vec<_> = found.map(|(it, offset)| (offset, it.clone())).collect();
        let next = (from + found.len()) as Offset;
        Some(replica.apply_page(first as Offset, next, &found))
    }

    /// Lets the replica read until it is current or makes no progress; returns its warnings.
    fn follow(&self, replica: &mut Replica) -> Vec<String> {
        let mut warnings = Vec::new();
        for _ in 0..100 {
            let Some(progress) = self.answer(replica) else { break };
            warnings.extend(progress.warnings);
            if progress.should_wait {
                break;
            }
        }
        warnings
    }
}

/// Starts a replica and compares its state and the reasons why it skipped snapshots.
fn check(log: &Log, state: State, warnings: &[&str]) -> Replica {
    let mut replica = Replica::default();
    let found = log.follow(&mut replica);
    assert_eq!(found.len(), warnings.len(), "{found:?}");
    for (found, expected) in found.iter().zip(warnings) {
        assert!(found.contains(expected), "{found}");
    }
    assert_eq!(replica.state(), state);
    replica
}

#[test]
fn empty_log() {
    let replica = check(&Log::default(), State::Following, &[]);
    assert_eq!(replica.fold().version(), None);
}

#[test]
fn whole_log() {
    let (log, fold) = Log::new(10);
    assert_eq!(check(&log, State::Following, &[]).fold(), &fold);
}

#[test]
fn newest_snapshot() {
    let (mut log, fold) = Log::new(10);
    log.snapshot(4);
    log.snapshot(7);
    log.records_first = 6;
    assert_eq!(check(&log, State::Following, &[]).fold(), &fold);
}

#[test]
fn damaged_snapshots() {
    let (mut log, fold) = Log::new(10);
    log.snapshot(6);
    let valid = log.snapshots[0].clone();
    let mut flipped = valid.clone();
    *flipped.last_mut().expect("a body") ^= 1;
    log.snapshots.extend([b"foreign".to_vec(), flipped, valid[..valid.len() / 2].to_vec()]);
    let mut extended = log.clone();
    extended.records.extend(Log::new(12).0.records.split_off(10));
    extended.snapshot(12);
    log.snapshots.push(extended.snapshots.pop().expect("a snapshot"));
    log.records_first = 3;
    let warnings = ["doesn't continue", "checksum", "checksum", "no header"];
    assert_eq!(check(&log, State::Following, &warnings).fold(), &fold);
}

/// A snapshot with newer rules is skipped, and the replica halts at the first record with them.
#[test]
fn newer_rules() {
    let (mut log, fold) = Log::new(3);
    let newer =
        |it: &[u8]| String::from_utf8_lossy(it).replace("\"rules\":1", "\"rules\":9").into_bytes();
    log.records.push(newer(&log.records[2]));
    log.snapshot(3);
    log.snapshots.push(newer(&log.snapshots[0]));
    let replica = check(&log, State::Halted { rules: 9 }, &["rules 9"]);
    assert_eq!((replica.fold().end(), replica.request()), (3, None));
    assert_eq!(replica.fold().version(), fold.version());
}

#[test]
fn retention_gap() {
    let (mut log, fold) = Log::new(10);
    log.records_first = 5;
    let mut replica = check(&log, State::Gap, &[]);
    log.snapshot(4);
    assert_eq!(log.follow(&mut replica).len(), 1);
    assert_eq!(replica.state(), State::Gap);
    log.snapshot(5);
    log.follow(&mut replica);
    assert_eq!((replica.state(), replica.fold()), (State::Following, &fold));
}

/// A replica that fell behind the log's retention continues from a snapshot, and keeps its version
/// until then.
#[test]
fn fallen_behind() {
    let (mut log, fold) = Log::new(10);
    let mut replica = Replica::default();
    let whole = std::mem::take(&mut log.records);
    log.records = whole[..4].to_vec();
    log.follow(&mut replica);
    log.records = whole;
    log.snapshot(3);
    log.records_first = 6;
    log.follow(&mut replica);
    assert_eq!((replica.state(), replica.fold().version()), (State::Gap, Some(3)));
    log.snapshot(8);
    log.follow(&mut replica);
    assert_eq!((replica.state(), replica.fold()), (State::Following, &fold));
}

#[test]
fn lost_records() {
    let (log, fold) = Log::new(10);
    let mut replica = check(&log, State::Following, &[]);
    let (shorter, _) = Log::new(4);
    shorter.follow(&mut replica);
    assert_eq!((replica.state(), replica.fold()), (State::Ahead, &fold));
    log.follow(&mut replica);
    assert_eq!((replica.state(), replica.fold()), (State::Following, &fold));
}

#[test]
fn peer_snapshot() {
    let (log, fold) = Log::new(10);
    let (_, older) = Log::new(4);
    let mut replica = Replica::default();
    assert_eq!(replica.adopt_snapshot(&snapshot::encode(&older, 0)), Ok(true));
    assert_eq!(replica.adopt_snapshot(&snapshot::encode(&fold, 0)), Ok(true));
    assert_eq!(replica.adopt_snapshot(&snapshot::encode(&older, 0)), Ok(false));
    assert!(replica.adopt_snapshot(b"foreign\n").is_err());
    assert_eq!(replica.fold(), &fold);
    log.follow(&mut replica);
    assert_eq!((replica.state(), replica.fold()), (State::Following, &fold));
}

/// A snapshot holds the offsets, removals and ids besides the sections.
#[test]
fn snapshot_whole() {
    let mut fold = first();
    publish(&mut fold, "stock", vec![util::remove("upstream one")]);
    publish(&mut fold, "nobody", vec![set("[team x]")]);
    fold.apply(3, b"foreign");
    assert_eq!(snapshot::decode(&snapshot::encode(&fold, 5)), Ok(fold.clone()));
    assert_eq!(snapshot::written_s(&snapshot::encode(&fold, 5)), 5);
    assert_eq!(snapshot::digest(&fold), snapshot::digest(&fold.clone()));
    assert_ne!(snapshot::digest(&fold), snapshot::digest(&first()));
}

/// No outdated version is in force while a replica catches up with the log's end.
#[test]
fn in_force_late() {
    let (log, fold) = Log::new(10);
    let mut replica = Replica::default();
    let mut versions = Vec::new();
    while let Some(progress) = log.answer(&mut replica) {
        let version = replica.in_force().and_then(Fold::version);
        if progress.has_new_version {
            versions.push(version);
        }
        if progress.should_wait {
            break;
        }
    }
    assert_eq!(versions, [fold.version()]);
}

/// After failed reads, whose answers may be too large, the replica requests fewer records.
#[test]
fn failed_reads() {
    let mut replica = Replica::default();
    let (log, fold) = Log::new(10);
    log.answer(&mut replica);
    for _ in 0..5 {
        replica.on_failure();
    }
    assert_eq!(replica.request().map(|it| it.limit), Some(1));
    log.follow(&mut replica);
    assert_eq!(replica.fold(), &fold);
    assert!(replica.request().is_some_and(|it| it.limit > 1));
}

/// The largest document and history that the fold accepts fit into one record of 4 MiB.
#[test]
fn largest_snapshot() {
    let name = |it: usize| format!("{it:0>64}");
    let mut fold = Fold::default();
    let mut publish = |author: &str, changes| {
        let end = fold.end();
        let record = make(&name(usize::try_from(end).expect("few")), author, end, changes).encode();
        fold.apply(end, &record)
    };
    let admin = format!("[team {}]\nadmin = yes", name(0));
    let team = |it: usize| set(&format!("[team {}]", name(it)));
    let mut verdicts = vec![publish(&name(0), vec![set(&admin)])];
    let removed = 2_001..4_000;
    verdicts.push(publish(&name(0), removed.clone().map(team).collect()));
    let remove = |it| util::remove(&format!("team {}", name(it)));
    verdicts.push(publish(&name(0), removed.map(remove).collect()));
    verdicts.push(publish(&name(0), (1..7_999).map(|it| team(it + 10_000)).collect()));
    let rest = document::MAX_DOCUMENT_BYTES - 8_000 * (64 + 9);
    let filled = format!("{admin}\ncontact = {}", "\"".repeat(rest - 100));
    verdicts.push(publish(&name(0), vec![set(&filled)]));
    let accepted = |it: &document::Verdict| matches!(it, document::Verdict::Accepted { .. });
    assert!(verdicts.iter().all(accepted));
    let mut fold = fold.clone();
    for _ in 0..document::WINDOW_RECORDS {
        let end = fold.end();
        let id = name(usize::try_from(end).expect("few"));
        fold.apply(end, &make(&id, &name(0), 0, vec![]).encode());
    }
    assert!(snapshot::encode(&fold, 0).len() < 4 << 20);
}

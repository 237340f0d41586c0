//! Measures parsing, folding and memory at the size that the system is designed for.

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use document::{Document, Fold, Publication, Verdict, publication::Change, snapshot};
use fastrand::Rng;

use super::content::{ADMIN, LARGE};

/// Number of changes that are folded one by one.
const CHANGES: u32 = 1_000;
/// Repetitions of each operation on the whole document.
const REPETITIONS: u32 = 20;
/// Changes per day that the system is designed for.
const CHANGES_PER_DAY: f64 = 3_300.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Budget of a daemon's control plane for processor time, in percent of a core.
const MAX_CORE_PERCENT: f64 = 1.3;
/// Budget of a daemon's control plane for memory, in MiB.
const MAX_MEMORY_MIB: f64 = 256.0;
/// Time within which a change must be in force.
const MAX_IN_FORCE: Duration = Duration::from_secs(17);

/// Measures and prints the figures. Fails if this part alone exceeds the budget of the control
/// plane.
pub(crate) fn run(seed: u64) -> ExitCode {
    let text = LARGE.document();
    println!("{} bytes in {} sections", text.len(), text.matches("\n[").count() + 1);
    let before = memory_mib("VmRSS:");
    let sections = document::split(&text).expect("a valid document");
    let mut fold = Fold::default();
    let first = publish(&mut fold, ADMIN, 0, Change::between([], &sections));
    drop(sections);
    let memory = memory_mib("VmRSS:") - before;
    let parse = time(REPETITIONS, || drop(Document::parse(&text).expect("a valid document")));
    let (median, highest) = fold_changes(&mut fold, seed);
    let document = time(REPETITIONS, || drop(fold.document()));
    let record = snapshot::encode(&fold, 0);
    let encode = time(REPETITIONS, || drop(snapshot::encode(&fold, 0)));
    let decode = time(REPETITIONS, || drop(snapshot::decode(&record).expect("a valid snapshot")));
    let core_percent =
        (median + document).as_secs_f64() * CHANGES_PER_DAY / SECONDS_PER_DAY * 100.0;
    // A cold start reads a snapshot and at most the records between two snapshots.
    let records = u32::try_from(snapshot::Settings::default().max_records).unwrap_or(u32::MAX);
    let cold_start = decode + median * records + document;
    let peak = memory_mib("VmHWM:");
    let is_missed =
        core_percent > MAX_CORE_PERCENT || peak > MAX_MEMORY_MIB || cold_start > MAX_IN_FORCE;
    println!(
        "RESULT size={} upstreams={} services={} bytes={} parse_ms={:.2} first_ms={:.2} \
         change_median_ms={:.3} change_max_ms={:.3} document_ms={:.2} snapshot_bytes={} \
         encode_ms={:.2} decode_ms={:.2} start_ms={:.0} memory_mib={memory:.1} peak_mib={peak:.1} core_percent={core_percent:.4}",
        if is_missed { "missed" } else { "ok" },
        LARGE.upstreams,
        LARGE.services,
        text.len(),
        ms(parse),
        ms(first),
        ms(median),
        ms(highest),
        ms(document),
        record.len(),
        ms(encode),
        ms(decode),
        ms(cold_start),
    );
    if is_missed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Folds changes one by one and returns the median and the longest time of one.
fn fold_changes(fold: &mut Fold, seed: u64) -> (Duration, Duration) {
    let mut rng = Rng::with_seed(seed);
    let mut times = Vec::new();
    for _ in 0..CHANGES {
        let (author, changes) = LARGE.change(&mut rng);
        times.push(publish(fold, &author, fold.end(), changes));
    }
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() - 1])
}

/// Folds one publication and returns the time of decoding and folding it.
fn publish(fold: &mut Fold, author: &str, base: u64, changes: Vec<Change>) -> Duration {
    let end = fold.end();
    let publication = Publication {
        id: format!("change-{end}").into(),
        author: author.into(),
        base,
        made_at_s: 0,
        note: String::new(),
        changes,
    };
    let record = publication.encode();
    let started = Instant::now();
    let verdict = fold.apply(end, &record);
    let elapsed = started.elapsed();
    assert!(!matches!(verdict, Verdict::Skipped { .. }), "{verdict:?}");
    elapsed
}

fn time(repetitions: u32, mut work: impl FnMut()) -> Duration {
    let started = Instant::now();
    (0..repetitions).for_each(|_| work());
    started.elapsed() / repetitions
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Memory of this process in MiB, from the entry `name` of `/proc/self/status`.
fn memory_mib(name: &str) -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix(name)).unwrap_or_default();
    let kib = line.trim().trim_end_matches("kB").trim().parse::<f64>().unwrap_or(f64::MAX);
    kib / 1_024.0
}

//! Parsing, folding and memory at the target size.

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use document::{Document, Fold, Publication, Verdict, publication::Change, snapshot};
use fastrand::Rng;

use super::content::{ADMIN, LARGE};

/// Changes that are folded one by one.
const CHANGES: u32 = 1_000;
/// Repeats of what is done to the whole document.
const REPEATS: u32 = 20;
/// Changes a day that the system is designed for.
const CHANGES_A_DAY: f64 = 3_300.0;
const SECONDS_A_DAY: f64 = 86_400.0;
/// Most processor time of a daemon's control, in percent of a core.
const MAX_CORE_PERCENT: f64 = 1.3;
/// Most memory of a daemon's control.
const MAX_MEMORY_MIB: f64 = 256.0;
/// Longest time until a change is in force.
const MAX_IN_FORCE: Duration = Duration::from_secs(17);

/// Measures and prints; fails if a share of the control's budget is exceeded by this part alone.
pub(crate) fn run(seed: u64) -> ExitCode {
    let text = LARGE.document();
    println!("{} bytes in {} sections", text.len(), text.matches("\n[").count() + 1);
    let before = memory_mib("VmRSS:");
    let sections = document::split(&text).expect("a sound document");
    let mut fold = Fold::default();
    let first = publish(&mut fold, ADMIN, 0, Change::between([], &sections));
    drop(sections);
    let memory = memory_mib("VmRSS:") - before;
    let parse = time(REPEATS, || drop(Document::parse(&text).expect("a sound document")));
    let (median, highest) = fold_changes(&mut fold, seed);
    let document = time(REPEATS, || drop(fold.document()));
    let record = snapshot::encode(&fold, 0);
    let encode = time(REPEATS, || drop(snapshot::encode(&fold, 0)));
    let decode = time(REPEATS, || drop(snapshot::decode(&record).expect("an own snapshot")));
    let share = (median + document).as_secs_f64() * CHANGES_A_DAY / SECONDS_A_DAY * 100.0;
    // A cold start reads a snapshot and at most as many records as lie between two snapshots.
    let records = u32::try_from(snapshot::Settings::default().max_records).unwrap_or(u32::MAX);
    let start = decode + median * records + document;
    let peak = memory_mib("VmHWM:");
    let is_missed = share > MAX_CORE_PERCENT || peak > MAX_MEMORY_MIB || start > MAX_IN_FORCE;
    println!(
        "RESULT size={} upstreams={} services={} bytes={} parse_ms={:.2} first_ms={:.2} \
         change_median_ms={:.3} change_max_ms={:.3} document_ms={:.2} snapshot_bytes={} \
         encode_ms={:.2} decode_ms={:.2} start_ms={:.0} memory_mib={memory:.1} peak_mib={peak:.1} core_percent={share:.4}",
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
        ms(start),
    );
    if is_missed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Folds changes one by one; returns the median time of one and the longest.
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

/// Folds one publication and returns the time that it took, decoding included.
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
    let took = started.elapsed();
    assert!(!matches!(verdict, Verdict::Skipped { .. }), "{verdict:?}");
    took
}

fn time(repeats: u32, mut work: impl FnMut()) -> Duration {
    let started = Instant::now();
    (0..repeats).for_each(|_| work());
    started.elapsed() / repeats
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Memory of this process in MiB, as the operating system counts it under `name`.
fn memory_mib(name: &str) -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix(name)).unwrap_or_default();
    let kib = line.trim().trim_end_matches("kB").trim().parse::<f64>().unwrap_or(f64::MAX);
    kib / 1_024.0
}

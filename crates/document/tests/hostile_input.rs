//! Fuzz tests: no input makes the parser or the fold panic, and folds of the same log agree
//! whichever snapshot they start from.
//!
//! `FIREFLYDRUM_FUZZ_RUNS` and `FIREFLYDRUM_FUZZ_SEED` set the number of runs and the seed.

mod util;

use document::{Document, Fold, Offset, Verdict, snapshot, split};
use fastrand::Rng;
use quickcheck::{Gen, QuickCheck};
use util::{FIRST, ROUTE, SERVICE, UPSTREAM, publication, remove, set};

const CAIRO: &str = include_str!("../../../samples/cairo.ini");
const RUNS: u64 = 200;
const SEED: u64 = 5;
const SIZE: usize = 200;
/// Bytes with a special meaning in INI, JSON or UTF-8.
const NOISE: &[u8] = b"[]=;\n\r\"\\ {},x0\xff\0";

fn variable(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

/// Runs `property` with seeded input.
fn check<A: quickcheck::Arbitrary + std::fmt::Debug>(property: fn(A) -> bool) {
    let runs = variable("FIREFLYDRUM_FUZZ_RUNS", RUNS);
    let seed = variable("FIREFLYDRUM_FUZZ_SEED", SEED);
    let rng = Gen::from_size_and_seed(SIZE, seed);
    QuickCheck::new().rng(rng).tests(runs).max_tests(runs).quickcheck(property);
}

/// Overwrites, removes or duplicates a few ranges of `bytes`.
fn damage(bytes: &[u8], rng: &mut Rng) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for _ in 0..rng.usize(1..4) {
        let from = rng.usize(..=bytes.len());
        let to = rng.usize(from..=bytes.len().min(from + 20));
        match rng.u8(..3) {
            0 => drop(bytes.drain(from..to)),
            1 => bytes[from..to].fill_with(|| NOISE[rng.usize(..NOISE.len())]),
            _ => bytes.extend_from_within(from..to),
        }
    }
    bytes
}

/// Whether parsing the normal form of a text's sections gives the same sections.
fn round_trips(text: &str) -> bool {
    let _ = Document::parse(text);
    let Ok(sections) = split(text) else { return true };
    let texts: Vec<_> = sections.iter().map(|it| it.text.to_string()).collect();
    let again = split(&texts.join("\n\n")).expect("the normal form is valid");
    again.iter().map(|it| &it.text).eq(sections.iter().map(|it| &it.text))
}

#[test]
fn random_text() {
    check(|text: String| round_trips(&text));
    check(|bytes: Vec<u8>| round_trips(&String::from_utf8_lossy(&bytes)));
}

#[test]
fn damaged_text() {
    check(|seed: u64| {
        let bytes = damage(CAIRO.as_bytes(), &mut Rng::with_seed(seed));
        round_trips(&String::from_utf8_lossy(&bytes))
    });
}

#[test]
fn random_records() {
    check(|records: Vec<Vec<u8>>| {
        let mut fold = Fold::default();
        let mut verdicts = records.iter().zip(0..).map(|(it, offset)| fold.apply(offset, it));
        verdicts.all(|it| matches!(it, Verdict::Skipped { .. }))
    });
}

/// A record that may be invalid, outdated, truncated or from an unknown author.
fn record(seen: Offset, rng: &mut Rng) -> Vec<u8> {
    let texts = [
        FIRST.to_owned(),
        SERVICE.to_owned(),
        ROUTE.to_owned(),
        UPSTREAM.to_owned(),
        format!("[team t{}]", rng.u8(..4)),
        format!("[rank r{0}]\norder = {0}\nfloor_percent = {1}", rng.u8(..4), rng.u8(..60)),
        format!("[service s{}]\nowner = t{}", rng.u8(..4), rng.u8(..4)),
        UPSTREAM
            .replace("one", &format!("u{}", rng.u8(..6)))
            .replace(".1", &format!(".{}", rng.u8(..6))),
    ];
    let change = |rng: &mut Rng| match rng.u8(..4) {
        0 => remove(rng.choice(["team t1", "service s1", "upstream u1", "rank r1"]).expect("one")),
        _ => set(&texts[rng.usize(..texts.len())]),
    };
    let changes = (0..rng.usize(..4)).map(|_| change(rng)).collect();
    let authors = ["ops", "ops", "ops", "stock", "t1", "t2"];
    let author = authors[rng.usize(..authors.len())];
    let base = seen.saturating_sub(rng.u64(..4)) + rng.u64(..2);
    let record = publication(&format!("p{}", rng.u8(..60)), author, base, changes).encode();
    if rng.u8(..8) == 0 { damage(&record, rng) } else { record }
}

/// A log that usually begins with a valid document.
fn log(rng: &mut Rng) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    if rng.u8(..8) > 0 {
        let changes = [FIRST, "[team t1]", "[team t2]"].map(set).to_vec();
        records.push(publication("first", "ops", 0, changes).encode());
    }
    for offset in 0..rng.u64(..40) {
        let repeated = rng.usize(..8);
        let again = records.iter().rev().nth(repeated).filter(|_| rng.u8(..6) == 0).cloned();
        records.push(again.unwrap_or_else(|| record(offset, rng)));
    }
    records
}

fn versions_increase(versions: &[Option<Offset>]) -> bool {
    versions.is_sorted()
}

/// Whether every reader, whichever snapshot it starts from, ends with the same fold, the document
/// parses, and the version never decreases.
fn agree(seed: u64) -> bool {
    let mut rng = Rng::with_seed(seed);
    let records = log(&mut rng);
    let mut readers = vec![Fold::default()];
    let mut versions = Vec::new();
    for (record, offset) in records.iter().zip(0..) {
        let verdicts: Vec<_> = readers.iter_mut().map(|it| it.apply(offset, record)).collect();
        if verdicts.iter().any(|it| *it != verdicts[0]) {
            return false;
        }
        versions.push(readers[0].version());
        if readers[0].halted().is_none() {
            let snapshot = snapshot::encode(&readers[0], 0);
            readers.push(snapshot::decode(&snapshot).expect("a valid snapshot"));
        }
    }
    let fold = &readers[0];
    let is_valid = fold.version().is_none() || Document::parse(&fold.text()) == Ok(fold.document());
    is_valid && versions_increase(&versions) && readers.iter().all(|it| it == fold)
}

#[test]
fn folds_agree() {
    check(agree);
}

/// Whether a publication is evaluated at most once, however often it is repeated.
fn evaluates_once(seed: u64) -> bool {
    let mut rng = Rng::with_seed(seed);
    let mut fold = Fold::default();
    let mut evaluated = std::collections::HashSet::new();
    log(&mut rng).iter().zip(0..).all(|(record, offset)| {
        let id = document::Publication::decode(record).map(|it| it.id);
        let verdict = fold.apply(offset, record);
        let is_evaluated = matches!(verdict, Verdict::Accepted { .. } | Verdict::Rejected { .. });
        !is_evaluated || evaluated.insert(id.expect("a publication"))
    })
}

#[test]
fn repeated_ids() {
    check(evaluates_once);
}

#[test]
fn damaged_snapshots() {
    check(|seed: u64| {
        let mut rng = Rng::with_seed(seed);
        let mut fold = Fold::default();
        for (record, offset) in log(&mut rng).iter().zip(0..) {
            fold.apply(offset, record);
        }
        let valid = snapshot::encode(&fold, 0);
        match snapshot::decode(&damage(&valid, &mut rng)) {
            Ok(other) => other == fold,
            Err(_) => true,
        }
    });
}

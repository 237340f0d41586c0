//! Cost of a configuration: reading, folding, putting in force, keeping.

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use daemon::table::{Context, Table};
use document::{Document, Fold, Publication, publication::Change, snapshot};

use crate::usage;

use super::{
    Error, Result,
    fixture::{self, SIZES, SLOTS, Size},
    peers::ratio,
};

/// Repetitions of each step; the shortest time counts, which other work disturbs least.
const REPETITIONS: usize = 5;

/// Copies by which memory is measured; they are kept until the end, so that memory freed before
/// hardly counts.
const COPIES: u8 = 16;

/// Cost of a configuration of the target size.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    /// Memory of the fold, the document and the table in force.
    pub(super) memory_mib: f64,
    /// Size of a snapshot.
    pub(super) snapshot_bytes: f64,
}

/// What a daemon holds of one version.
struct Held {
    fold: Fold,
    document: Arc<Document>,
    table: Table,
}

/// Prints the cost at all sizes and returns that at the target.
pub(super) fn measure() -> Result<Cost> {
    println!("configuration: one daemon, without sockets");
    println!(
        "{:>9} {:>8} {:>9} {:>8} {:>10} {:>8} {:>11} {:>11}",
        "upstreams",
        "services",
        "parse ms",
        "fold ms",
        "change ms",
        "table ms",
        "snapshot kB",
        "memory MiB"
    );
    let mut cost = Cost::default();
    let mut kept = Vec::new();
    for it in SIZES {
        cost = measure_size(it, &mut kept)?;
    }
    println!();
    Ok(cost)
}

fn measure_size(size: Size, kept: &mut Vec<Held>) -> Result<Cost> {
    let text = fixture::document(size, SLOTS);
    let changed = fixture::document(size, SLOTS + 1);
    let whole = publication(&text, &[], 0)?;
    let context = Context {
        domain: "domain-0".into(),
        hosts: 6,
        clock: Arc::new(clock::System),
        request_queued: Arc::default(),
        seed: 1,
    };
    let before = usage::memory_mib()?;
    kept.extend((0..COPIES).map(|_| hold(&whole, &context)));
    let memory_mib = (usage::memory_mib()? - before) / f64::from(COPIES);
    let Some(Held { fold, document, table }) = kept.last() else { return Ok(Cost::default()) };

    let parse = shortest(|| drop(black_box(Document::parse(&text))));
    let fold_time = shortest(|| {
        black_box(Fold::default().apply(0, &whole));
    });
    let sections = document::split(&text).map_err(Error::Document)?;
    let change = publication(&changed, &sections, 1)?;
    let change_time = shortest(|| {
        let mut fold = fold.clone();
        black_box(fold.apply(1, &change));
    });
    let clone_time = shortest(|| drop(black_box(fold.clone())));
    let table_time = shortest(|| {
        black_box(Table::build(document, 1, table, &context));
    });
    let snapshot_bytes = ratio(snapshot::encode(fold, 0).len() as u64);
    println!(
        "{:>9} {:>8} {:>9.2} {:>8.2} {:>10.3} {:>8.2} {:>11.0} {:>11.1}",
        size.upstreams,
        size.services,
        ms(parse),
        ms(fold_time),
        ms(change_time.saturating_sub(clone_time)),
        ms(table_time),
        snapshot_bytes / 1_000.0,
        memory_mib
    );
    Ok(Cost { memory_mib, snapshot_bytes })
}

fn hold(whole: &[u8], context: &Context) -> Held {
    let mut fold = Fold::default();
    fold.apply(0, whole);
    let document = Arc::new(fold.document());
    let table = Table::build(&document, 0, &Table::default(), context);
    Held { fold, document, table }
}

/// A publication of what `text` has beyond `known`.
fn publication(text: &str, known: &[document::Section], base: u64) -> Result<Vec<u8>> {
    let sections = document::split(text).map_err(Error::Document)?;
    let changes = sections
        .iter()
        .filter(|it| known.iter().all(|known| known.text != it.text))
        .map(|it| Change::Set { text: it.text.to_string() })
        .collect();
    let publication = Publication {
        id: format!("slopes-{base}").into(),
        author: "operations".into(),
        base,
        made_at_s: 0,
        note: String::new(),
        changes,
    };
    Ok(publication.encode())
}

fn shortest(mut step: impl FnMut()) -> Duration {
    let time = |_| {
        let started = Instant::now();
        step();
        started.elapsed()
    };
    (0..REPETITIONS).map(time).min().unwrap_or_default()
}

fn ms(it: Duration) -> f64 {
    it.as_secs_f64() * 1_000.0
}

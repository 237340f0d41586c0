//! Measures the cost of parsing, folding, building and holding a configuration.

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
    peers::to_f64,
};

/// Repetitions of each step. The shortest time counts because other work disturbs it least.
const REPETITIONS: usize = 5;

/// Number of copies over which memory is averaged. All copies are retained until the end, so that
/// new ones hardly reuse freed memory.
const COPIES: u8 = 16;

/// Cost of a configuration of the target size.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    /// Memory of the fold, the document and the routing table in force.
    pub(super) memory_mib: f64,
    /// Size of a snapshot.
    pub(super) snapshot_bytes: f64,
}

/// The data that a daemon holds for one version.
struct Version {
    fold: Fold,
    document: Arc<Document>,
    table: Table,
}

/// Prints the cost at all sizes and returns the cost at the target size.
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
    let mut retained = Vec::new();
    for it in SIZES {
        cost = measure_size(it, &mut retained)?;
    }
    println!();
    Ok(cost)
}

fn measure_size(size: Size, retained: &mut Vec<Version>) -> Result<Cost> {
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
    retained.extend((0..COPIES).map(|_| build_version(&whole, &context)));
    let memory_mib = (usage::memory_mib()? - before) / f64::from(COPIES);
    let Some(Version { fold, document, table }) = retained.last() else {
        return Ok(Cost::default());
    };

    let parse = shortest_time(|| drop(black_box(Document::parse(&text))));
    let fold_time = shortest_time(|| {
        black_box(Fold::default().apply(0, &whole));
    });
    let sections = document::split(&text).map_err(Error::Document)?;
    let change = publication(&changed, &sections, 1)?;
    let change_time = shortest_time(|| {
        let mut fold = fold.clone();
        black_box(fold.apply(1, &change));
    });
    let clone_time = shortest_time(|| drop(black_box(fold.clone())));
    let table_time = shortest_time(|| {
        black_box(Table::build(document, 1, table, &context));
    });
    let snapshot_bytes = to_f64(snapshot::encode(fold, 0).len() as u64);
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

fn build_version(whole: &[u8], context: &Context) -> Version {
    let mut fold = Fold::default();
    fold.apply(0, whole);
    let document = Arc::new(fold.document());
    let table = Table::build(&document, 0, &Table::default(), context);
    Version { fold, document, table }
}

/// A publication of what `text` has beyond `existing`.
fn publication(text: &str, existing: &[document::Section], base: u64) -> Result<Vec<u8>> {
    let sections = document::split(text).map_err(Error::Document)?;
    let changes = sections
        .iter()
        .filter(|it| existing.iter().all(|existing| existing.text != it.text))
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

fn shortest_time(mut step: impl FnMut()) -> Duration {
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

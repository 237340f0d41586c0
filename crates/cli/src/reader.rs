//! Reads the log into a replica of the document.

use document::{
    Fold, Offset, Replica, Verdict, publication,
    replica::{Progress, State},
    snapshot,
};
use platform::{Log, Record};

use crate::{Error, Result};

/// Number of records per read.
const PAGE_RECORDS: u64 = 256;
/// Maximum number of snapshots searched for an older version.
const MAX_SNAPSHOTS: u64 = 256;

/// Reads the next page of the log into the replica.
///
/// # Errors
///
/// Fails if the log can't be read.
pub fn read_page(replica: &mut Replica, log: &dyn Log) -> platform::Result<Progress> {
    let Some(request) = replica.request() else {
        return Ok(Progress { should_wait: true, ..Progress::default() });
    };
    match log.read(request.stream, request.from, request.limit) {
        Ok(page) => {
            let records: Vec<_> = page.records.into_iter().map(|it| (it.offset, it.data)).collect();
            Ok(replica.apply_page(page.first, page.next, &records))
        }
        Err(platform::Error::Gone { .. }) => Ok(replica.on_trimmed()),
        Err(err) => {
            replica.on_failure();
            Err(err)
        }
    }
}

/// Returns a replica that has read the log to its end.
///
/// # Errors
///
/// Fails if the log can't be read to its end.
pub fn read_to_end(log: &dyn Log) -> Result<Replica> {
    let mut replica = Replica::default();
    while !read_page(&mut replica, log)?.should_wait {}
    match replica.state() {
        State::Following => Ok(replica),
        State::Halted { rules } => Err(Error::UnusableLog(format!(
            "it has records that require fold rules {rules}; use a newer fireflydrum"
        ))),
        State::Starting | State::Gap | State::Ahead => {
            Err(Error::UnusableLog("it has neither its beginning nor a usable snapshot".to_owned()))
        }
    }
}

/// Returns the fold of the records before `end`.
///
/// # Errors
///
/// Fails if the log can't be read, or no longer retains the records needed.
pub fn fold_at(log: &dyn Log, end: Offset) -> Result<Fold> {
    let mut fold = snapshot_before(log, end)?;
    replay(log, &mut fold, end, |_, _| {})?;
    if fold.end() == end { Ok(fold) } else { Err(Error::Version(end.saturating_sub(1))) }
}

/// Folds the records before `end`, and calls `on_record` with each record and its verdict.
///
/// # Errors
///
/// Fails if the log can't be read, or no longer retains the records after the fold.
pub fn replay(
    log: &dyn Log,
    fold: &mut Fold,
    end: Offset,
    mut on_record: impl FnMut(&Record, Verdict),
) -> Result<()> {
    while fold.end() < end && fold.halted().is_none() {
        let limit = usize::try_from(PAGE_RECORDS.min(end - fold.end())).unwrap_or(1);
        let page = log.read(publication::STREAM, fold.end(), limit)?;
        if page.records.is_empty() {
            break;
        }
        for record in page.records.iter().filter(|it| it.offset < end) {
            on_record(record, fold.apply(record.offset, &record.data));
        }
    }
    Ok(())
}

/// Returns the fold of the newest snapshot that ends at or before `end`, or the empty fold.
///
/// # Errors
///
/// Fails if the log can't be read.
pub fn snapshot_before(log: &dyn Log, end: Offset) -> Result<Fold> {
    let bounds = log.read(snapshot::STREAM, Offset::MAX, 1)?;
    let oldest = bounds.first.max(bounds.next.saturating_sub(MAX_SNAPSHOTS));
    for offset in (oldest..bounds.next).rev() {
        let page = log.read(snapshot::STREAM, offset, 1)?;
        let record = page.records.first().filter(|it| it.offset == offset);
        if let Some(Ok(fold)) = record.map(|it| snapshot::decode(&it.data))
            && fold.end() <= end
        {
            return Ok(fold);
        }
    }
    Ok(Fold::default())
}

//! Publications for the tests of the fold.
#![allow(dead_code, reason = "each test file uses a part")]

use document::{Fold, Offset, Publication, Verdict, publication::Change};

pub(crate) const FIRST: &str = "[team ops]\nadmin = yes";
pub(crate) const STOCK: &str = "[team stock]";
pub(crate) const BOOKING: &str = "[team booking]";
pub(crate) const RANK: &str = "[rank urgent]\norder = 0\nfloor_percent = 40";
pub(crate) const SERVICE: &str = "[service lookup]\nowner = stock";
pub(crate) const ROUTE: &str = "[route check]\npath = /stock\nservice = lookup\nrank = urgent";
pub(crate) const UPSTREAM: &str = "[upstream one]\nservice = lookup\naddress = 10.0.0.1:80\ndomain = delta\nslots = 6\nconnections = 220";

pub(crate) fn set(text: &str) -> Change {
    Change::Set { text: text.to_owned() }
}

pub(crate) fn remove(section: &str) -> Change {
    Change::Remove { section: section.parse().expect("a section's name") }
}

pub(crate) fn publication(
    id: &str,
    author: &str,
    base: Offset,
    changes: Vec<Change>,
) -> Publication {
    let (id, author, note) = (id.into(), author.into(), String::new());
    Publication { id, author, base, made_at_s: 0, note, changes }
}

/// Applies a publication whose author has read all records.
pub(crate) fn publish(fold: &mut Fold, author: &str, changes: Vec<Change>) -> Verdict {
    let end = fold.end();
    let publication = publication(&format!("p{end}"), author, end, changes);
    fold.apply(end, &publication.encode())
}

/// A fold of one publication: an admin team, two teams, a rank and a service with a route and an upstream.
pub(crate) fn first() -> Fold {
    let mut fold = Fold::default();
    let changes = [FIRST, STOCK, BOOKING, RANK, SERVICE, ROUTE, UPSTREAM].map(set).to_vec();
    assert_eq!(publish(&mut fold, "ops", changes), Verdict::Accepted { version: 0 });
    fold
}

/// The messages of a rejection, or the `Debug` text of any other verdict.
pub(crate) fn messages(verdict: &Verdict) -> Vec<String> {
    match verdict {
        Verdict::Rejected { findings, conflicts } => {
            let findings = findings.iter().map(ToString::to_string);
            findings.chain(conflicts.iter().map(ToString::to_string)).collect()
        }
        other => vec![format!("{other:?}")],
    }
}

//! `history`: lists publications and their verdicts.

use std::fmt;

use document::{
    Offset, Publication, Verdict, WINDOW_RECORDS, publication::Change, replica::Evaluation,
    section::Id,
};
use platform::Record;
use serde::Serialize;

use crate::{Arguments, Code, Context, Outcome, Result, arguments::Spec, reader, verb::Verb};

/// Default of `--limit`, in records.
const DEFAULT_LIMIT: u64 = 20;

/// The verb.
pub const VERB: Verb = Verb {
    name: "history",
    summary: "list publications with their authors and verdicts",
    help: "\
usage: fireflydrum history [--limit N] [--id ID]

Lists the last records of the log, 20 unless --limit is given, with their verdicts: an accepted
record produced the version of its offset; a rejected one changed nothing and is listed with the
reason; a repeated one was evaluated before; a skipped one isn't a publication. --id shows only the
publication with that id, for example after its answer was lost, and exits with 5 if the log doesn't
contain it.

  fireflydrum history --limit 5
  fireflydrum history --id 5b0cd2a1e86f4b7f9c1f5d3f1d2c8a77
",
    spec: Spec { min_positionals: 0, max_positionals: 0, options: &["limit", "id"], flags: &[] },
    run,
};

#[derive(Serialize)]
struct Report {
    records: Vec<Entry>,
}

#[derive(Serialize)]
struct Entry {
    #[serde(flatten)]
    evaluation: Evaluation,
    #[serde(skip_serializing_if = "Option::is_none")]
    publication: Option<Publication>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.records.is_empty() {
            return writeln!(f, "no such record in the log");
        }
        self.records.iter().try_for_each(|it| it.fmt(f))
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Evaluation { offset, verdict } = &self.evaluation;
        write!(f, "{offset}")?;
        if let Some(Publication { id, author, note, changes, .. }) = &self.publication {
            let sections: Vec<Id> = changes.iter().filter_map(Change::section).collect();
            let sections = sections.iter().map(ToString::to_string).collect::<Vec<_>>();
            write!(f, "  {author}  {}  id {id}", sections.join(", "))?;
            if !note.is_empty() {
                write!(f, "  ({})", ini::excerpt(note))?;
            }
        }
        write_verdict(f, verdict)
    }
}

fn write_verdict(f: &mut fmt::Formatter<'_>, verdict: &Verdict) -> fmt::Result {
    match verdict {
        Verdict::Accepted { version } => writeln!(f, "  accepted as version {version}"),
        Verdict::Rejected { findings, conflicts } => {
            writeln!(f, "  rejected")?;
            findings.iter().try_for_each(|it| writeln!(f, "    {it}"))?;
            conflicts.iter().try_for_each(|it| writeln!(f, "    {it}"))
        }
        Verdict::Repeated { first } => writeln!(f, "  repeats offset {first}, ignored"),
        Verdict::Skipped { warning } => writeln!(f, "  skipped: {warning}"),
        Verdict::Halted { rules } => writeln!(f, "  requires fold rules {rules}, not read further"),
    }
}

fn run(cx: &Context<'_>, arguments: &Arguments) -> Result<Outcome> {
    let id = arguments.option("id");
    let default = if id.is_some() { WINDOW_RECORDS } else { DEFAULT_LIMIT };
    let limit = arguments.number("limit")?.unwrap_or(default);
    let end = reader::read_to_end(cx.log)?.fold().end();
    let mut records = read(cx, end, limit)?;
    if let Some(id) = id {
        records.retain(|it| it.publication.as_ref().is_some_and(|it| &*it.id == id));
    }
    let code = if id.is_some() && records.is_empty() { Code::Unknown } else { Code::Done };
    Ok(Outcome::new(&Report { records }, code))
}

/// The last `limit` records before `end`, or as many of them as can still be evaluated.
fn read(cx: &Context<'_>, end: Offset, limit: u64) -> Result<Vec<Entry>> {
    let from = end.saturating_sub(limit);
    let mut records = Vec::new();
    let mut on_record = |record: &Record, verdict| {
        if record.offset >= from {
            let evaluation = Evaluation { offset: record.offset, verdict };
            let publication = Publication::decode(&record.data).ok();
            records.push(Entry { evaluation, publication });
        }
    };
    let mut fold = reader::snapshot_before(cx.log, from)?;
    if reader::replay(cx.log, &mut fold, end, &mut on_record).is_err() {
        // The log no longer retains records from that far back. All records after the newest snapshot
        // are certain to be retained.
        let mut fold = reader::snapshot_before(cx.log, end)?;
        reader::replay(cx.log, &mut fold, end, &mut on_record)?;
    }
    Ok(records)
}

//! `diff`: compares a file or a version with another version.

use std::{
    collections::{BTreeMap, HashSet},
    fmt,
    sync::Arc,
};

use document::{Section, Version, section::Id};
use serde::Serialize;

use crate::{
    Arguments, Code, Context, Error, Outcome, Result, arguments::Spec, context, header, reader,
    verb::Verb,
};

/// The verb.
pub const VERB: Verb = Verb {
    name: "diff",
    summary: "show what a file or a later version changes",
    help: "\
usage: fireflydrum diff FILE
       fireflydrum diff --from N [--to M]

Lists the sections that differ, with the lines removed (-) and added (+). A FILE that `show` wrote is
compared with the version in its first line, any other with the current document. Without --to,
--from compares a version with the current document.

  fireflydrum diff fleet.ini
  fireflydrum diff --from 1042 --to 1050
",
    spec: Spec { min_positionals: 0, max_positionals: 1, options: &["from", "to"], flags: &[] },
    run,
};

#[derive(Serialize)]
struct Report {
    from: Option<Version>,
    sections: Vec<Difference>,
}

#[derive(Serialize)]
struct Difference {
    section: Id,
    #[serde(rename = "gone")]
    removed: Vec<String>,
    #[serde(rename = "new")]
    added: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.sections.is_empty() {
            return writeln!(f, "no difference");
        }
        for Difference { section, removed, added } in &self.sections {
            writeln!(f, "[{section}]")?;
            for line in removed {
                writeln!(f, "- {line}")?;
            }
            for line in added {
                writeln!(f, "+ {line}")?;
            }
        }
        Ok(())
    }
}

type Texts = BTreeMap<Id, Arc<str>>;

fn run(cx: &Context<'_>, arguments: &Arguments) -> Result<Outcome> {
    let (from, before, after) = match (arguments.positionals.first(), arguments.number("from")?) {
        (Some(file), None) => {
            let (file_version, text) = header::split(&context::read_file(file)?);
            let sections = document::split(&text).map_err(Error::Findings)?;
            let before = version(cx, file_version)?;
            (before.0, before.1, texts(&sections))
        }
        (None, Some(from)) => {
            let before = version(cx, Some(from))?;
            (before.0, before.1, version(cx, arguments.number("to")?)?.1)
        }
        _ => return Err(Error::Usage("give either FILE or --from N".to_owned())),
    };
    let sections = compare(&before, &after);
    Ok(Outcome::new(&Report { from, sections }, Code::Done))
}

/// The sections of a version, or of the current document.
fn version(cx: &Context<'_>, version: Option<Version>) -> Result<(Option<Version>, Texts)> {
    let fold = match version {
        Some(it) => reader::fold_at(cx.log, it.saturating_add(1))?,
        None => reader::read_to_end(cx.log)?.fold().clone(),
    };
    Ok((fold.version(), texts(fold.sections())))
}

fn texts<'a>(sections: impl IntoIterator<Item = &'a Section>) -> Texts {
    sections.into_iter().map(|it| (it.id.clone(), Arc::clone(&it.text))).collect()
}

fn compare(before: &Texts, after: &Texts) -> Vec<Difference> {
    let ids: std::collections::BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let differences = ids.into_iter().filter_map(|id| {
        let (removed, added) = (before.get(id), after.get(id));
        (removed != added).then(|| Difference {
            section: id.clone(),
            removed: lines_missing_from(removed, added),
            added: lines_missing_from(added, removed),
        })
    });
    differences.collect()
}

/// The lines of `text` that aren't in `other`.
fn lines_missing_from(text: Option<&Arc<str>>, other: Option<&Arc<str>>) -> Vec<String> {
    let other: HashSet<_> = other.map(|it| it.lines().collect()).unwrap_or_default();
    let lines = text.map(|it| it.lines()).into_iter().flatten();
    lines.filter(|it| !other.contains(it)).map(str::to_owned).collect()
}

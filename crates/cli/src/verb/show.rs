//! `show`: prints the document.

use std::fmt;

use document::{Fold, Version};
use serde::Serialize;

use crate::{
    Arguments, Code, Context, Error, Outcome, Result, arguments::Spec, header, reader, verb::Verb,
};

/// The verb.
pub const VERB: Verb = Verb {
    name: "show",
    summary: "print the document, one of its sections, or an older version",
    help: "\
usage: fireflydrum show [SECTION] [--version N]

Prints the current document, or only SECTION, written as in its header. The first line holds the
version: keep it in the file so that `publish` doesn't undo changes that others make in the meantime.
Older versions can be shown as long as the log retains them.

  fireflydrum show > fleet.ini
  fireflydrum show service stock
  fireflydrum show --version 1042
",
    spec: Spec { min_positionals: 0, max_positionals: 2, options: &["version"], flags: &[] },
    run,
};

#[derive(Serialize)]
struct Report {
    version: Option<Version>,
    text: String,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(version) = self.version {
            f.write_str(&header::line(version))?;
        }
        f.write_str(&self.text)
    }
}

fn run(cx: &Context<'_>, arguments: &Arguments) -> Result<Outcome> {
    let fold = match arguments.number("version")? {
        Some(version) => of_version(cx, version)?,
        None => reader::read_to_end(cx.log)?.fold().clone(),
    };
    let text = if arguments.positionals.is_empty() {
        fold.text()
    } else {
        section_text(&fold, &arguments.positionals.join(" "))?
    };
    Ok(Outcome::new(&Report { version: fold.version(), text }, Code::Done))
}

/// The fold whose newest version is `version`.
fn of_version(cx: &Context<'_>, version: Version) -> Result<Fold> {
    let fold = reader::fold_at(cx.log, version.saturating_add(1))?;
    if fold.version() == Some(version) { Ok(fold) } else { Err(Error::Version(version)) }
}

fn section_text(fold: &Fold, name: &str) -> Result<String> {
    let id = name.parse().map_err(Error::Usage)?;
    let section = fold.section(&id).ok_or_else(|| Error::Usage(format!("there is no [{id}]")))?;
    Ok(format!("{}\n", section.text))
}

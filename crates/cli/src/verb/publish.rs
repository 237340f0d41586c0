//! `publish`: publishes the changes in a file.

use document::{Document, Fold, Version, publication::Change};

use crate::{
    Arguments, Context, Error, Outcome, Result,
    arguments::Spec,
    context, header,
    publish::{self, Options},
    reader,
    verb::Verb,
};

/// The verb.
pub const VERB: Verb = Verb {
    name: "publish",
    summary: "publish the changes in a document, and wait until they are in force",
    help: "\
usage: fireflydrum publish FILE [--base N] [--note TEXT] [--dry-run] [--wait SECONDS]

Compares FILE with the version that it is based on, and publishes the sections that differ, all of
them or none. The change is rejected if the document would be invalid, if a section belongs to another
team, or if it conflicts with an earlier change of the same sections, whose author is then shown.

The version is in the first line that `show` writes; a file without it needs --base N, the version
that it is based on. The first document needs neither.

Then waits until the change is in force on every live host, for at most 17 seconds unless --wait is
given, and lists the hosts that lag; --wait 0 doesn't wait. A lost answer of the log never leads to a
second publication: the record is sent again with the same id, which takes effect only once.

  fireflydrum show > fleet.ini
  $EDITOR fleet.ini
  fireflydrum publish fleet.ini --note 'more slots for the new hosts'
",
    spec: Spec {
        min_positionals: 1,
        max_positionals: 1,
        options: &["base", Options::NAMES[0], Options::NAMES[1]],
        flags: &["dry-run"],
    },
    run,
};

fn run(cx: &Context<'_>, arguments: &Arguments) -> Result<Outcome> {
    let options = Options::read(arguments)?;
    let (file_version, text) = header::split(&context::read_file(&arguments.positionals[0])?);
    Document::parse(&text).map_err(Error::Findings)?;
    let wanted = document::split(&text).map_err(Error::Findings)?;
    let replica = reader::read_to_end(cx.log)?;
    let version = arguments.number("base")?.or(file_version);
    let base = base(cx, replica.fold(), version)?;
    let changes = Change::between(base.sections(), &wanted);
    publish::publish(cx, replica, base.end(), changes, &options)
}

/// The fold of the version that the file is based on.
fn base(cx: &Context<'_>, current: &Fold, version: Option<Version>) -> Result<Fold> {
    match (version, current.version()) {
        (version, newest) if version == newest => Ok(current.clone()),
        (Some(version), _) => reader::fold_at(cx.log, version.saturating_add(1)),
        (None, newest) => Err(Error::Usage(format!(
            "the file doesn't name the version that it is based on, so publishing it could undo what \
            others changed; create it with `fireflydrum show`, or give --base N (now: {})",
            newest.unwrap_or_default()
        ))),
    }
}

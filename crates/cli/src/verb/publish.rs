//! `publish`: publishes what a file changes.

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
    summary: "publish what a whole document changes, and wait until it is in force",
    help: "\
usage: fireflydrum publish FILE [--base N] [--note TEXT] [--dry-run] [--wait SECONDS]

Compares FILE with the version that it was taken from, and publishes the sections that differ, all of
them or none. It is refused if the document would be unsound, if a section belongs to another team,
or if another change of the same sections came first; then you are told whose it was.

The version stands in the first line that `show` writes; a file without it needs --base N, the
version that you compared it with. The very first document needs neither.

Then waits until the change is in force on every live host, 17 seconds at most unless --wait says
otherwise, and tells which hosts lag; --wait 0 doesn't wait. An answer of the log that gets lost never
leads to a second publication: the same id is sent again, and counts once.

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

/// The fold that the file was made from.
fn base(cx: &Context<'_>, current: &Fold, version: Option<Version>) -> Result<Fold> {
    match (version, current.version()) {
        (version, newest) if version == newest => Ok(current.clone()),
        (Some(version), _) => reader::fold_at(cx.log, version.saturating_add(1)),
        (None, newest) => Err(Error::Usage(format!(
            "the file doesn't say from which version it was taken, and so it could undo what \
             others changed; take it with `fireflydrum show`, or give --base N (now: {})",
            newest.unwrap_or_default()
        ))),
    }
}

//! `edit`: changes one section.

use document::{Fold, Section, publication::Change, section::Id};

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
    name: "edit",
    summary: "change, add or remove one section, and wait until it is in force",
    help: "\
usage: fireflydrum edit SECTION --set KEY=VALUE… [--unset KEY…]
       fireflydrum edit SECTION --file FILE
       fireflydrum edit SECTION --remove
       and for each: [--note TEXT] [--dry-run] [--wait SECONDS]

Publishes a change of one section. SECTION is written as in its header. --set and --unset change
single keys and add the section if it doesn't exist; --file replaces the whole section by the text in
FILE, including the header (`-`: standard input); a FILE that `show` wrote is checked against the
version in its first line. Rules, waiting and exit codes are those of `publish`.

  fireflydrum edit upstream stock-07 --set slots=4
  fireflydrum show service stock > stock.ini && $EDITOR stock.ini
  fireflydrum edit service stock --file stock.ini
",
    spec: Spec {
        min_positionals: 1,
        max_positionals: 2,
        options: &["set", "unset", "file", Options::NAMES[0], Options::NAMES[1]],
        flags: &["remove", "dry-run"],
    },
    run,
};

fn run(cx: &Context<'_>, arguments: &Arguments) -> Result<Outcome> {
    let options = Options::read(arguments)?;
    let id: Id = arguments.positionals.join(" ").parse().map_err(Error::Usage)?;
    let replica = reader::read_to_end(cx.log)?;
    let fold = replica.fold();
    let has_keys =
        arguments.option_values("set").chain(arguments.option_values("unset")).next().is_some();
    let mut base = fold.end();
    let change = match (arguments.flag("remove"), arguments.option("file"), has_keys) {
        (true, None, false) => Change::Remove { section: id },
        (false, Some(file), false) => {
            let (file_version, text) = header::split(&context::read_file(file)?);
            base = file_version.map_or(base, |it| it.saturating_add(1));
            set(&id, &text)?
        }
        (false, None, true) => set(&id, &edited(fold, &id, arguments)?)?,
        _ => {
            let message = "give one of --set and --unset, --file, --remove";
            return Err(Error::Usage(message.to_owned()));
        }
    };
    let is_same = |it: &Change| {
        let before = fold.section(&id_of(it)).map(|it| it.text.to_string());
        matches!(it, Change::Set { text } if Some(text) == before.as_ref())
    };
    let changes = Some(change).filter(|it| !is_same(it)).into_iter().collect();
    publish::publish(cx, replica, base, changes, &options)
}

fn id_of(change: &Change) -> Id {
    match change {
        Change::Remove { section } => section.clone(),
        Change::Set { .. } => change.section().expect("a text that was parsed before"),
    }
}

/// Creates the change that sets the text of a section.
fn set(id: &Id, text: &str) -> Result<Change> {
    let section = Section::parse(text).map_err(Error::Findings)?;
    if section.id != *id {
        return Err(Error::Usage(format!("the text is for [{}], not for [{id}]", section.id)));
    }
    Ok(Change::Set { text: section.text.to_string() })
}

/// Returns the text of a section after setting and unsetting keys.
fn edited(fold: &Fold, id: &Id, arguments: &Arguments) -> Result<String> {
    let text = fold.section(id).map_or_else(|| format!("[{id}]"), |it| it.text.to_string());
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    for key in arguments.option_values("unset") {
        let key_line = key_line(&lines, key);
        let key_line =
            key_line.ok_or_else(|| Error::Usage(format!("[{id}] has no key `{key}`")))?;
        lines.remove(key_line);
    }
    for pair in arguments.option_values("set") {
        let (key, value) = pair
            .split_once('=')
            .ok_or_else(|| Error::Usage(format!("--set {pair}: expected KEY=VALUE")))?;
        let line = format!("{} = {}", key.trim(), value.trim());
        match key_line(&lines, key) {
            Some(it) => lines[it] = line,
            None => lines.push(line),
        }
    }
    Ok(lines.join("\n"))
}

/// Index of the line with a key.
fn key_line(lines: &[String], key: &str) -> Option<usize> {
    let is_key = |it: &String| it.split_once('=').is_some_and(|(it, _)| it.trim() == key.trim());
    lines.iter().position(is_key)
}

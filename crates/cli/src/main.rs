//! `fireflydrum`: the command line for operators.

use std::{fmt::Write as _, io::Write as _, process::ExitCode};

use cli::{
    Arguments, Code, Context, Error, Outcome, Result, Settings, admin, arguments::Common, context,
    verb,
};
use platform::Log;

/// Environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "FIREFLYDRUM_SETTINGS";

const NO_LOG: &str = "no log address; give --log IP:PORT or log_address in the settings";

const COMMON_HELP: &str = "\
options of every verb:
  --settings FILE   INI file with the section [fireflydrum] and the keys log_address,
                    admin_addresses (separated by commas) and team; the environment variable
                    FIREFLYDRUM_SETTINGS names it as well
  --log IP:PORT     the platform's log
  --admin IP:PORT,… admin addresses of daemons, which list the others
  --team NAME       team in whose name changes are published
  --json            print one JSON value instead of text
  --help            print this page, or the page of a verb
";

fn main() -> ExitCode {
    let mut common = Common::default();
    let outcome = run(&mut common).unwrap_or_else(|err| err.outcome());
    let is_failure = matches!(outcome.code, Code::Usage | Code::Failed | Code::Unavailable);
    if common.json {
        println!("{}", outcome.json);
    } else if is_failure && outcome.text.starts_with("fireflydrum: ") {
        eprint!("{}", outcome.text);
    } else {
        // A closed pipe, for example to `head`, isn't an error.
        let _ = std::io::stdout().write_all(outcome.text.as_bytes());
    }
    ExitCode::from(outcome.code as u8)
}

fn run(common: &mut Common) -> Result<Outcome> {
    let mut parser = lexopt::Parser::from_env();
    let mut name = common.read_verb(&mut parser)?;
    if name.as_deref() == Some("help") {
        common.help = true;
        name = common.read_verb(&mut parser)?;
    }
    let Some(name) = name else {
        return Ok(help_page(help(), if common.help { Code::Done } else { Code::Usage }));
    };
    let verb = verb::find(&name).ok_or_else(|| {
        Error::Usage(format!("unknown verb `{}`; see fireflydrum --help", ini::excerpt(&name)))
    })?;
    let arguments = Arguments::read(&verb.spec, &mut parser, common)?;
    if common.help {
        return Ok(help_page(format!("{}\n{COMMON_HELP}\n{}", verb.help, Code::HELP), Code::Done));
    }
    let settings = settings(common)?;
    let log: Box<dyn Log> = match settings.log_address {
        Some(it) => Box::new(platform::Http::new(it, platform::Settings::default())),
        None => Box::new(Unconfigured),
    };
    let cx = Context {
        settings,
        log: &*log,
        admin: &admin::Http::default(),
        clock: &clock::System,
        sleep: &std::thread::sleep,
        seed: fastrand::u64(..),
    };
    (verb.run)(&cx, &arguments)
}

fn settings(common: &Common) -> Result<Settings> {
    let file = common.settings_file.clone().or_else(|| std::env::var(SETTINGS_VARIABLE).ok());
    let from_file = file.map(|it| context::read_file(&it).and_then(|it| Settings::parse(&it)));
    let mut settings = from_file.transpose()?.unwrap_or_default();
    let given = &common.settings;
    settings.log_address = given.log_address.or(settings.log_address);
    if !given.admin_addresses.is_empty() {
        settings.admin_addresses.clone_from(&given.admin_addresses);
    }
    if !given.team.is_empty() {
        settings.team.clone_from(&given.team);
    }
    Ok(settings)
}

fn help() -> String {
    let mut text = "\
fireflydrum: publish the configuration document and manage the entry hosts

usage: fireflydrum VERB [ARGUMENTS] [OPTIONS]

verbs:
"
    .to_owned();
    for verb in verb::ALL {
        // Writing to a string can't fail.
        let _ = writeln!(text, "  {:<9} {}", verb.name, verb.summary);
    }
    text + "\n`fireflydrum VERB --help` describes a verb, with examples.\n\n"
        + COMMON_HELP
        + "\n"
        + Code::HELP
}

/// Creates the outcome that prints a help page.
fn help_page(text: String, code: Code) -> Outcome {
    let json = serde_json::Value::from(text.as_str()).to_string();
    Outcome { text, json, code }
}

/// Log that is used if no log address is configured; every call fails.
struct Unconfigured;

impl Log for Unconfigured {
    fn append(&self, _stream: &str, _record: &bytes::Bytes) -> platform::Result<platform::Offset> {
        Err(platform::Error::Refused(NO_LOG.to_owned()))
    }

    fn read(
        &self,
        _stream: &str,
        _from: platform::Offset,
        _limit: usize,
    ) -> platform::Result<platform::Page> {
        Err(platform::Error::Unavailable(NO_LOG.to_owned()))
    }
}

//! Parses the arguments of one run.

use lexopt::{Arg, Parser, ValueExt};

use crate::{Error, Result, Settings, settings};

/// The arguments that a verb accepts.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Minimum number of positional arguments.
    pub min_positionals: usize,
    /// Maximum number of positional arguments.
    pub max_positionals: usize,
    /// Options that take a value.
    pub options: &'static [&'static str],
    /// Options without a value.
    pub flags: &'static [&'static str],
}

/// Options that every verb accepts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Common {
    /// Settings file.
    pub settings_file: Option<String>,
    /// Settings given as options, which override those of the file.
    pub settings: Settings,
    /// Whether the outcome is printed as JSON.
    pub json: bool,
    /// Whether to print help instead of running the verb.
    pub help: bool,
}

/// The arguments of one verb.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Arguments {
    /// Positional arguments.
    pub positionals: Vec<String>,
    /// Options with their values, in the order given.
    pub options: Vec<(&'static str, String)>,
    /// Options without a value.
    pub flags: Vec<&'static str>,
}

impl Common {
    /// Reads an option that every verb accepts. Returns whether `name` is one.
    fn read_option(&mut self, name: &str, parser: &mut Parser) -> Result<bool> {
        match name {
            "json" => self.json = true,
            "help" => self.help = true,
            "settings" => self.settings_file = Some(parser.value()?.string()?),
            "team" => self.settings.team = parser.value()?.string()?,
            "log" => {
                let text = parser.value()?.string()?;
                self.settings.log_address = addresses(&text)?.first().copied();
            }
            "admin" => self.settings.admin_addresses = addresses(&parser.value()?.string()?)?,
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Reads the options before the verb, and the name of the verb.
    ///
    /// # Errors
    ///
    /// Fails at the first invalid argument.
    pub fn read_verb(&mut self, parser: &mut Parser) -> Result<Option<String>> {
        while let Some(arg) = parser.next()? {
            let name = match arg {
                Arg::Value(it) => return Ok(Some(it.string()?)),
                Arg::Long(it) => it.to_owned(),
                Arg::Short('h') => "help".to_owned(),
                Arg::Short(it) => it.to_string(),
            };
            if !self.read_option(&name, parser)? {
                return Err(unknown(&name));
            }
        }
        Ok(None)
    }
}

impl Arguments {
    /// Reads the arguments after the verb.
    ///
    /// # Errors
    ///
    /// Fails at the first invalid argument, and if one is missing.
    pub fn read(spec: &Spec, parser: &mut Parser, common: &mut Common) -> Result<Self> {
        let mut arguments = Self::default();
        while let Some(arg) = parser.next()? {
            let name = match arg {
                Arg::Value(it) => {
                    arguments.positionals.push(it.string()?);
                    continue;
                }
                Arg::Long(it) => it.to_owned(),
                Arg::Short('h') => "help".to_owned(),
                Arg::Short(it) => it.to_string(),
            };
            if common.read_option(&name, parser)? {
                continue;
            }
            if let Some(known) = spec.flags.iter().find(|it| **it == name) {
                arguments.flags.push(known);
            } else if let Some(known) = spec.options.iter().find(|it| **it == name) {
                arguments.options.push((known, parser.value()?.string()?));
            } else {
                return Err(unknown(&name));
            }
        }
        let count = arguments.positionals.len();
        if !common.help && !(spec.min_positionals..=spec.max_positionals).contains(&count) {
            let (min, max) = (spec.min_positionals, spec.max_positionals);
            let expected = if min == max { min.to_string() } else { format!("{min} to {max}") };
            return Err(Error::Usage(format!("expected {expected} arguments, found {count}")));
        }
        Ok(arguments)
    }

    /// The last value of an option.
    #[must_use]
    pub fn option(&self, name: &str) -> Option<&str> {
        self.options.iter().rev().find(|(it, _)| *it == name).map(|(_, value)| value.as_str())
    }

    /// All values of an option, in the order given.
    pub fn option_values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.options.iter().filter(move |(it, _)| *it == name).map(|(_, value)| value.as_str())
    }

    /// The value of a numeric option.
    ///
    /// # Errors
    ///
    /// Fails if the value isn't a number.
    pub fn number(&self, name: &str) -> Result<Option<u64>> {
        let parse = |it: &str| {
            it.parse().map_err(|_| Error::Usage(format!("--{name}: `{it}` isn't a whole number")))
        };
        self.option(name).map(parse).transpose()
    }

    /// Whether an option without a value was given.
    #[must_use]
    pub fn flag(&self, name: &str) -> bool {
        self.flags.contains(&name)
    }
}

fn addresses(text: &str) -> Result<Vec<std::net::SocketAddr>> {
    settings::addresses(text).map_err(Error::Usage)
}

fn unknown(name: &str) -> Error {
    Error::Usage(format!("unknown option `{name}`; see --help"))
}

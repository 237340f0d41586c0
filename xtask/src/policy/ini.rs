//! Reads sections and keys of an INI file and reports findings with their lines.

use std::{fmt, str::FromStr};

/// An error in a scenario file, with its line.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Finding {
    pub(crate) line: u32,
    pub(crate) message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

/// A key with its value and line.
#[derive(Clone, Debug)]
struct Property {
    key: String,
    value: String,
    line: u32,
}

/// A section, `[kind]` or `[kind name]`. Reading a key removes it.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    pub(crate) kind: String,
    pub(crate) name: String,
    pub(crate) line: u32,
    properties: Vec<Property>,
}

/// Splits `text` into sections. Lines that can't be parsed become findings.
pub(crate) fn sections(text: &str, findings: &mut Vec<Finding>) -> Vec<Section> {
    let mut res: Vec<Section> = Vec::new();
    let mut line = 0;
    for item in ini_core::Parser::new(text).auto_trim(true) {
        line += u32::from(item != ini_core::Item::SectionEnd);
        match item {
            ini_core::Item::Section(header) => {
                let (kind, name) = header.split_once(' ').unwrap_or((header, ""));
                let (kind, name) = (kind.to_owned(), name.trim().to_owned());
                res.push(Section { kind, name, line, properties: Vec::new() });
            }
            ini_core::Item::Property(key, value) => {
                let property = value.map(|it| (key.to_owned(), it.to_owned()));
                match (property, res.last_mut()) {
                    (None, _) => findings.push(finding(line, format!("'{key}' has no '='"))),
                    (_, None) => findings
                        .push(finding(line, format!("'{key}' appears before the first section"))),
                    (Some((key, value)), Some(section)) => {
                        section.properties.push(Property { key, value, line });
                    }
                }
            }
            ini_core::Item::Error(it) => {
                findings.push(finding(line, format!("'{it}' is not a section header")));
            }
            _ => {}
        }
    }
    res
}

impl Section {
    /// Removes `key` and returns its value, or `None` if the section lacks it. A value that doesn't
    /// parse or isn't `allowed` becomes a finding.
    pub(crate) fn take<T: FromStr>(
        &mut self,
        key: &str,
        expected: &str,
        allowed: impl Fn(&T) -> bool,
        findings: &mut Vec<Finding>,
    ) -> Option<T> {
        let found = self.properties.iter().position(|it| it.key == key)?;
        let Property { value, line, .. } = self.properties.remove(found);
        let res = value.parse().ok().filter(allowed);
        if res.is_none() {
            findings.push(finding(line, format!("{key} = {value}: must be {expected}")));
        }
        res
    }

    /// Removes `key` and stores its value in `target`, if it is a number from `least` to `most`.
    pub(crate) fn number<T>(
        &mut self,
        key: &str,
        (least, most): (T, T),
        target: &mut T,
        findings: &mut Vec<Finding>,
    ) where
        T: Copy + fmt::Display + FromStr + PartialOrd,
    {
        let expected = format!("a number from {least} to {most}");
        let allowed = |it: &T| *it >= least && *it <= most;
        if let Some(value) = self.take(key, &expected, allowed, findings) {
            *target = value;
        }
    }

    /// Reports the keys that were not read, which are unknown or repeated.
    pub(crate) fn finish(self, findings: &mut Vec<Finding>) {
        for it in self.properties {
            let message = format!("'{}' is not a key of [{}] or is repeated", it.key, self.kind);
            findings.push(finding(it.line, message));
        }
    }
}

pub(crate) fn finding(line: u32, message: String) -> Finding {
    Finding { line, message }
}

//! A section of an INI text.

use ini_core::Item;

use crate::{Finding, excerpt};

/// A section of an INI text, with its keys in the order of the text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Section {
    /// Text between the brackets; empty for lines before the first header.
    pub name: String,
    /// Line of the header, counted from 1.
    pub line: u32,
    /// Keys and values with their lines.
    pub entries: Vec<Entry>,
}

/// A `key = value` line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Text before the first `=`.
    pub key: String,
    /// Text after the first `=`.
    pub value: String,
    /// Line, counted from 1.
    pub line: u32,
}

/// Returns the sections of `text` in their order, and findings for malformed lines. Comments start
/// with `;`.
#[must_use]
pub fn sections(text: &str) -> (Vec<Section>, Vec<Finding>) {
    let mut res = Vec::new();
    let mut findings = Vec::new();
    let mut open = Section::default();
    let mut parser = ini_core::Parser::new(text).auto_trim(true);
    loop {
        let line = parser.line() + 1;
        let Some(item) = parser.next() else { break };
        match item {
            Item::Section(name) => {
                res.push(std::mem::replace(&mut open, Section::new(name, line)));
            }
            Item::Property(key, Some(value)) => open.push(key, value, line),
            Item::Property(key, None) => {
                let message = format!("`{}` is no `key = value`", excerpt(key));
                findings.push(open.finding(line, message));
            }
            Item::Error(header) => {
                let message = format!("`{}` lacks its closing `]`", excerpt(header));
                findings.push(open.finding(line, message));
            }
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }
    res.push(open);
    res.retain(|it| !it.name.is_empty() || !it.entries.is_empty());
    (res, findings)
}

impl Section {
    fn new(name: &str, line: u32) -> Self {
        Self { name: name.to_owned(), line, entries: Vec::new() }
    }

    fn push(&mut self, key: &str, value: &str, line: u32) {
        self.entries.push(Entry { key: key.to_owned(), value: value.to_owned(), line });
    }

    /// Creates a finding in this section.
    #[must_use]
    pub fn finding(&self, line: u32, message: String) -> Finding {
        Finding { line, section: excerpt(&self.name), message }
    }
}

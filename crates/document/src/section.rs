//! One section of a document, the unit that teams own and change.

mod id;
mod kind;

use std::sync::Arc;

use ini_core::Item;

use crate::Finding;

pub use id::Id;
pub use kind::Kind;

/// One section of a document: its name and its text in normal form.
///
/// The normal form has one `key = value` or `; comment` per line and no leading or trailing blank
/// lines, so that two texts differ only in content or comments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Section {
    /// Kind and name of the section.
    pub id: Id,
    /// Line of the surrounding text on which `text` starts, counted from 1.
    pub line: u32,
    /// Comments above the header, the header, and the section's lines.
    pub text: Arc<str>,
}

impl Section {
    /// Parses a text that holds exactly one section, with lines counted from 1.
    ///
    /// # Errors
    ///
    /// Returns all findings, also if the text holds no section or more than one.
    pub fn parse(text: &str) -> crate::Result<Self> {
        let mut sections = crate::split::split(text)?;
        match sections.pop() {
            Some(section) if sections.is_empty() => Ok(section),
            _ => {
                let message = "expected exactly one section".to_owned();
                Err(vec![Finding { line: 1, section: String::new(), message }])
            }
        }
    }

    /// The line of `key`, or the line of the header if the key is absent.
    #[must_use]
    pub fn line_of(&self, key: &str) -> u32 {
        let lines = self.items().filter_map(|(line, it)| match it {
            Item::Section(_) => Some((line, false)),
            Item::Property(name, _) if name == key => Some((line, true)),
            _ => None,
        });
        lines.max_by_key(|&(_, is_key)| is_key).map_or(self.line, |(line, _)| line)
    }

    /// Creates a finding in this section.
    #[must_use]
    pub fn finding(&self, line: u32, message: String) -> Finding {
        Finding { line, section: self.id.to_string(), message }
    }

    /// Converts the section to keys and values with their lines.
    pub(crate) fn lines(&self) -> ini::Section {
        let (mut line, mut entries) = (self.line, Vec::new());
        for (at, item) in self.items() {
            match item {
                Item::Section(_) => line = at,
                Item::Property(key, Some(value)) => {
                    let (key, value) = (key.to_owned(), value.to_owned());
                    entries.push(ini::Entry { key, value, line: at });
                }
                _ => {}
            }
        }
        ini::Section { name: self.id.to_string(), line, entries }
    }

    /// The lines of the section with their numbers.
    pub(crate) fn items(&self) -> impl Iterator<Item = (u32, Item<'_>)> {
        numbered_lines(&self.text).map(|(line, it)| (line + self.line - 1, it))
    }
}

/// The lines of `text` with their numbers, counted from 1.
pub(crate) fn numbered_lines(text: &str) -> impl Iterator<Item = (u32, Item<'_>)> {
    let mut parser = ini_core::Parser::new(text).auto_trim(true);
    std::iter::from_fn(move || {
        let line = parser.line() + 1;
        parser.next().map(|it| (line, it))
    })
    .filter(|(_, it)| *it != Item::SectionEnd)
}

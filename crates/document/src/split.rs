//! Splits a text into sections.
//!
//! Comments directly above a header belong to that header's section; other comments belong to the
//! preceding section, or to the first section if there is none before them.

use std::collections::HashSet;

use ini::excerpt;
use ini_core::Item;

use crate::{
    Finding, Result,
    report::Report,
    section::{Id, Section, numbered_lines},
};

/// Maximum size of a document, in bytes; a snapshot of it fits into one record of 4 MiB even if JSON
/// escapes every byte.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// Maximum number of sections in a document.
pub const MAX_SECTIONS: usize = 8_000;

/// Returns the sections of `text` in their order, without checking keys or references.
///
/// # Errors
///
/// Returns all syntax findings; keys aren't checked.
pub fn split(text: &str) -> Result<Vec<Section>> {
    let (sections, report) = split_with(text);
    report.finish()?;
    Ok(sections)
}

/// Returns the well-formed sections of `text` and the findings in the others.
pub(crate) fn split_with(text: &str) -> (Vec<Section>, Report) {
    let mut splitter = Splitter::default();
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!("{} bytes long; at most {MAX_DOCUMENT_BYTES}", text.len());
        splitter.report.push_document(message);
        return splitter.finish();
    }
    for (line, item) in numbered_lines(text) {
        splitter.push(line, item);
    }
    splitter.finish()
}

#[derive(Default)]
struct Splitter<'a> {
    sections: Vec<Section>,
    report: Report,
    seen: HashSet<Id>,
    open: Open<'a>,
    /// Comments that belong to the next header if it follows directly.
    pending: Vec<&'a str>,
}

/// The section that is being parsed.
#[derive(Default)]
struct Open<'a> {
    /// Header as written, or `None` before the first section.
    header: Option<&'a str>,
    /// Id, unless the header is invalid.
    id: Option<Id>,
    /// Line of the first line of `text`.
    line: u32,
    text: String,
}

impl<'a> Splitter<'a> {
    fn push(&mut self, line: u32, item: Item<'a>) {
        match item {
            Item::Property(it, _) | Item::Comment(it) if has_control(it) => self.reject_line(line),
            Item::Property(_, Some(it)) if has_control(it) => self.reject_line(line),
            Item::Section(header) => self.open(line, header, header.parse()),
            Item::Error(header) => {
                let message = format!("`{}` lacks its closing `]`", excerpt(header));
                self.open(line, header, Err(message));
            }
            Item::Comment(comment) => self.pending.push(comment),
            Item::Blank => self.push_line(""),
            Item::Property(key, _) if key.starts_with(['[', ';']) => {
                let key = excerpt(key);
                self.push_finding(
                    line,
                    format!("`{key}`: headers and comments start at the line's start"),
                );
                self.push_line("");
            }
            Item::Property(key, Some(value)) => {
                if self.open.header.is_none() {
                    let key = excerpt(key);
                    self.push_finding(line, format!("key `{key}` stands before the first section"));
                }
                self.push_line(&format!("{key} = {value}"));
            }
            Item::Property(key, None) => {
                let hint = if key.starts_with('#') { "; comments start with `;`" } else { "" };
                self.push_finding(line, format!("`{}` is no `key = value`{hint}", excerpt(key)));
                self.push_line("");
            }
            Item::SectionEnd => {}
        }
    }

    fn open(&mut self, line: u32, header: &'a str, id: Result<Id, String>) {
        let comments = std::mem::take(&mut self.pending);
        let mut text = String::new();
        if self.open.header.is_none() {
            text = std::mem::take(&mut self.open.text);
        }
        self.close();
        for comment in &comments {
            push_comment(&mut text, comment);
        }
        let above = u32::try_from(text.lines().count()).unwrap_or(line);
        self.open = Open { header: Some(header), id: None, line: line - above.min(line), text };
        match id.and_then(|id| self.check_id(id)) {
            Ok(id) => {
                self.push_line(&format!("[{id}]"));
                self.open.id = Some(id);
            }
            Err(message) => self.push_finding(line, message),
        }
    }

    /// Rejects a duplicate section, or one beyond [`MAX_SECTIONS`].
    fn check_id(&mut self, id: Id) -> Result<Id, String> {
        if self.sections.len() >= MAX_SECTIONS {
            return Err(format!("more than {MAX_SECTIONS} sections"));
        }
        if !self.seen.insert(id.clone()) {
            return Err("the section stands twice in the document".to_owned());
        }
        Ok(id)
    }

    /// Adds a line to the open section, after any pending comments.
    fn push_line(&mut self, line: &str) {
        for comment in std::mem::take(&mut self.pending) {
            push_comment(&mut self.open.text, comment);
        }
        self.open.text.push_str(line);
        self.open.text.push('\n');
    }

    fn close(&mut self) {
        let open = std::mem::take(&mut self.open);
        let Some(id) = open.id else { return };
        let text = open.text.trim_start_matches('\n');
        let blank = u32::try_from(open.text.len() - text.len()).unwrap_or(0);
        let text = text.trim_end_matches('\n').into();
        self.sections.push(Section { id, line: open.line + blank, text });
    }

    /// Rejects a line with control characters, which editors don't display.
    fn reject_line(&mut self, line: u32) {
        self.push_finding(line, "the line holds control characters".to_owned());
        self.push_line("");
    }

    fn push_finding(&mut self, line: u32, message: String) {
        let section = excerpt(self.open.header.unwrap_or_default());
        self.report.push(Finding { line, section, message });
    }

    fn finish(mut self) -> (Vec<Section>, Report) {
        self.push_line("");
        self.close();
        (self.sections, self.report)
    }
}

fn has_control(text: &str) -> bool {
    text.chars().any(|it| it.is_control() && it != '\t')
}

fn push_comment(text: &mut String, comment: &str) {
    text.push_str("; ");
    text.push_str(comment);
    text.push('\n');
}

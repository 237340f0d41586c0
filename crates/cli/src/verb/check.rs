//! `check`: validates a document.

use std::fmt;

use document::{Document, Finding};
use serde::Serialize;

use crate::{Arguments, Code, Context, Outcome, Result, arguments::Spec, context, verb::Verb};

/// The verb.
pub const VERB: Verb = Verb {
    name: "check",
    summary: "validate a document and list all findings, without publishing it",
    help: "\
usage: fireflydrum check FILE

Reads a document and lists all findings with their lines and sections: unknown keys, values out of
range, references to sections that don't exist, and contradictions between sections. FILE `-` is
the standard input. Needs neither the log nor a host.

  fireflydrum check samples/cairo.ini
",
    spec: Spec { min_positionals: 1, max_positionals: 1, options: &[], flags: &[] },
    run,
};

#[derive(Serialize)]
struct Report<'a> {
    file: &'a str,
    findings: Vec<Finding>,
    services: usize,
    upstreams: usize,
}

impl fmt::Display for Report<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for it in &self.findings {
            writeln!(f, "{}: {it}", self.file)?;
        }
        if self.findings.is_empty() {
            let Self { file, services, upstreams, .. } = self;
            writeln!(f, "{file}: valid, {services} services with {upstreams} upstreams")?;
        }
        Ok(())
    }
}

fn run(_cx: &Context<'_>, arguments: &Arguments) -> Result<Outcome> {
    let file = &arguments.positionals[0];
    let parsed = Document::parse(&context::read_file(file)?);
    let (document, findings) = match parsed {
        Ok(it) => (it, Vec::new()),
        Err(it) => (Document::default(), it),
    };
    let code = if findings.is_empty() { Code::Done } else { Code::Findings };
    let (services, upstreams) = (document.services.len(), document.upstreams.len());
    Ok(Outcome::new(&Report { file, findings, services, upstreams }, code))
}

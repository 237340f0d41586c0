//! The verbs, one module each.

pub mod check;
pub mod diff;
pub mod drain;
pub mod edit;
pub mod explain;
pub mod history;
pub mod hosts;
pub mod publish;
pub mod show;
pub mod status;

use crate::{Arguments, Context, Outcome, Result, arguments::Spec};

/// One verb.
#[derive(Clone, Copy)]
pub struct Verb {
    /// Name on the command line.
    pub name: &'static str,
    /// Summary in one line.
    pub summary: &'static str,
    /// Help page.
    pub help: &'static str,
    /// Arguments that the verb accepts.
    pub spec: Spec,
    /// Runs the verb.
    pub run: fn(&Context<'_>, &Arguments) -> Result<Outcome>,
}

/// All verbs, in the order of the help page.
pub const ALL: [Verb; 10] = [
    check::VERB,
    show::VERB,
    diff::VERB,
    edit::VERB,
    publish::VERB,
    history::VERB,
    status::VERB,
    hosts::VERB,
    explain::VERB,
    drain::VERB,
];

/// Returns the verb with the given name.
#[must_use]
pub fn find(name: &str) -> Option<Verb> {
    ALL.into_iter().find(|it| it.name == name)
}

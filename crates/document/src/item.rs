//! The typed content of a section.

use std::sync::Arc;

use ini::Keys;

use crate::{Rank, Result, Route, Section, Service, Team, Upstream, section::Kind};

/// The typed content of a section.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A team that owns sections.
    Team(Team),
    /// A priority rank of requests.
    Rank(Rank),
    /// A service and its limits.
    Service(Service),
    /// A route from requests to a service.
    Route(Route),
    /// A backend server of a service.
    Upstream(Upstream),
}

impl Item {
    /// Parses the keys of a section; references to other sections aren't checked.
    ///
    /// # Errors
    ///
    /// Returns all findings in the section.
    pub fn parse(section: &Section) -> Result<Self> {
        let lines = section.lines();
        let mut keys = Keys::new(&lines);
        let id = Arc::clone(&section.id.name);
        let item = match section.id.kind {
            Kind::Team => Self::Team(Team::read(id, &mut keys)),
            Kind::Rank => Self::Rank(Rank::read(id, &mut keys)),
            Kind::Service => Self::Service(Service::read(id, &mut keys)),
            Kind::Route => Self::Route(Route::read(id, &mut keys)),
            Kind::Upstream => Self::Upstream(Upstream::read(id, &mut keys)),
        };
        let findings = keys.finish();
        if findings.is_empty() { Ok(item) } else { Err(findings) }
    }
}

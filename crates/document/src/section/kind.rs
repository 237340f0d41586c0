//! The kinds of sections.

use std::{fmt, str::FromStr};

/// The kind of a section. The order is that of the document's normal form.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A team that owns sections.
    Team,
    /// A priority rank of requests.
    Rank,
    /// A service and its limits.
    Service,
    /// A route from requests to a service.
    Route,
    /// A backend server of a service.
    Upstream,
}

impl Kind {
    /// All kinds, in the order of the document's normal form.
    pub const ALL: [Self; 5] = [Self::Team, Self::Rank, Self::Service, Self::Route, Self::Upstream];

    /// The keyword at the start of the section's header.
    #[must_use]
    pub fn keyword(self) -> &'static str {
        match self {
            Self::Team => "team",
            Self::Rank => "rank",
            Self::Service => "service",
            Self::Route => "route",
            Self::Upstream => "upstream",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.keyword())
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(word: &str) -> Result<Self, String> {
        let kind = Self::ALL.into_iter().find(|it| it.keyword() == word);
        kind.ok_or_else(|| {
            format!(
                "unknown kind of section `{word}`; known are team, rank, service, route, upstream"
            )
        })
    }
}

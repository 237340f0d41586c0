//! The id of a section.

use std::{fmt, str::FromStr, sync::Arc};

use crate::{name, section::Kind};

/// Kind and name of a section, formatted as in its header: `service stock`.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(into = "String", try_from = "String")]
pub struct Id {
    /// Kind of the section.
    pub kind: Kind,
    /// Name, unique among the sections of the kind.
    pub name: Arc<str>,
}

impl Id {
    /// Creates the id of a section of `kind`.
    #[must_use]
    pub fn new(kind: Kind, name: &Arc<str>) -> Self {
        Self { kind, name: Arc::clone(name) }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

impl FromStr for Id {
    type Err = String;

    fn from_str(header: &str) -> Result<Self, String> {
        let (word, name) = header.split_once(char::is_whitespace).unwrap_or((header, ""));
        let kind = word.parse()?;
        Ok(Self { kind, name: name::check(name.trim())? })
    }
}

impl From<Id> for String {
    fn from(id: Id) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for Id {
    type Error = String;

    fn try_from(header: String) -> Result<Self, String> {
        header.parse()
    }
}

//! A team that owns sections.

use ini::Keys;

use crate::TeamId;

/// A team that owns sections.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Team {
    /// Name of the team.
    pub id: TeamId,
    /// Whether the team may change every section, ranks and teams included.
    pub admin: bool,
    /// Contact for questions about the team's sections; empty if not set.
    pub contact: String,
}

impl Team {
    pub(crate) fn read(id: TeamId, keys: &mut Keys<'_>) -> Self {
        let admin = keys.flag("admin").unwrap_or(false);
        let contact = keys.text("contact").unwrap_or_default().to_owned();
        Self { id, admin, contact }
    }
}

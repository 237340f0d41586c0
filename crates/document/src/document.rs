//! The configuration document as a whole.

use crate::{Item, Rank, Result, Route, Service, Team, Upstream, check, split};

/// A validated configuration document.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Document {
    /// Teams, ordered by name.
    pub teams: Vec<Team>,
    /// Services, ordered by name.
    pub services: Vec<Service>,
    /// Ranks, ordered by priority, highest first.
    pub ranks: Vec<Rank>,
    /// Routes, ordered by name.
    pub routes: Vec<Route>,
    /// Upstreams of all services, ordered by name.
    pub upstreams: Vec<Upstream>,
}

impl Document {
    /// Reads and validates a whole document.
    ///
    /// The document doesn't depend on the order of the sections in the text.
    ///
    /// # Errors
    ///
    /// Returns all findings, ordered by line, up to [`crate::MAX_FINDINGS`].
    pub fn parse(text: &str) -> Result<Self> {
        let (sections, mut report) = split::split_with(text);
        let mut parsed = Vec::with_capacity(sections.len());
        for section in sections {
            let item = Item::parse(&section).map_err(|it| report.extend(it)).ok();
            parsed.push((section, item));
        }
        check::check(|| parsed.iter().map(|(section, item)| (section, item.as_ref())), &mut report);
        report.finish()?;
        parsed.sort_by(|(a, _), (b, _)| a.id.cmp(&b.id));
        Ok(parsed.iter().filter_map(|(_, item)| item.as_ref()).collect())
    }
}

impl<'a> FromIterator<&'a Item> for Document {
    fn from_iter<I: IntoIterator<Item = &'a Item>>(items: I) -> Self {
        let mut document = Self::default();
        for item in items {
            match item {
                Item::Team(it) => document.teams.push(it.clone()),
                Item::Rank(it) => document.ranks.push(it.clone()),
                Item::Service(it) => document.services.push(it.clone()),
                Item::Route(it) => document.routes.push(it.clone()),
                Item::Upstream(it) => document.upstreams.push(it.clone()),
            }
        }
        document.ranks.sort_by_key(|it| it.order);
        document
    }
}

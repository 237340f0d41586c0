//! Checks that concern more than one section.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use crate::{
    Item, Section,
    report::Report,
    section::{Id, Kind},
};

/// A section and the item that it describes, if its keys are valid.
pub(crate) type Part<'a> = (&'a Section, Option<&'a Item>);

/// Checks references, uniqueness and sums over all sections of a document.
///
/// Of two contradicting sections, the later one in `parts` gets the finding.
pub(crate) fn check<'a, I>(parts: impl Fn() -> I, report: &mut Report)
where
    I: Iterator<Item = Part<'a>>,
{
    let ids = parts().map(|(section, _)| &section.id).collect();
    let mut checker = Checker {
        ids,
        report,
        has_admin: false,
        floors_percent: 0,
        orders: HashMap::new(),
        paths: HashMap::new(),
        addresses: HashMap::new(),
    };
    for (section, item) in parts() {
        match item {
            Some(item) => checker.visit(section, item),
            // An invalid team section may be the one that holds `admin = yes`.
            None => checker.has_admin |= section.id.kind == Kind::Team,
        }
    }
    checker.finish();
}

struct Checker<'a, 'r> {
    ids: HashSet<&'a Id>,
    report: &'r mut Report,
    has_admin: bool,
    floors_percent: u32,
    orders: HashMap<u8, &'a Section>,
    paths: HashMap<(&'a str, &'a str), &'a Section>,
    addresses: HashMap<(&'a str, SocketAddr), &'a Section>,
}

impl<'a> Checker<'a, '_> {
    fn visit(&mut self, section: &'a Section, item: &'a Item) {
        match item {
            Item::Team(it) => self.has_admin |= it.admin,
            Item::Rank(it) => {
                self.floors_percent += u32::from(it.floor_percent);
                let first = *self.orders.entry(it.order).or_insert(section);
                self.check_unique(section, "order", first);
            }
            Item::Service(it) => self.check_reference(section, "owner", Kind::Team, &it.owner),
            Item::Route(it) => {
                self.check_reference(section, "service", Kind::Service, &it.service);
                self.check_reference(section, "rank", Kind::Rank, &it.rank);
                let first = *self.paths.entry((&it.method, &it.path)).or_insert(section);
                self.check_unique(section, "path", first);
            }
            Item::Upstream(it) => {
                self.check_reference(section, "service", Kind::Service, &it.service);
                let first = *self.addresses.entry((&it.service, it.address)).or_insert(section);
                self.check_unique(section, "address", first);
            }
        }
    }

    fn check_reference(&mut self, section: &Section, key: &str, kind: Kind, name: &Arc<str>) {
        if self.ids.contains(&Id::new(kind, name)) {
            return;
        }
        let message = format!("{key}: there is no [{kind} {name}]");
        self.report.push(section.finding(section.line_of(key), message));
    }

    fn check_unique(&mut self, section: &Section, key: &str, first: &Section) {
        if first.id == section.id {
            return;
        }
        let message = format!("{key}: taken already by [{}]", first.id);
        self.report.push(section.finding(section.line_of(key), message));
    }

    fn finish(self) {
        if !self.has_admin {
            let message = "no team has `admin = yes`; nobody could change ranks and teams";
            self.report.push_document(message.to_owned());
        }
        if self.floors_percent > 100 {
            let message = format!("floors of all ranks sum to {} percent", self.floors_percent);
            self.report.push_document(message + "; at most 100");
        }
    }
}

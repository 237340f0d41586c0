//! Decides whether a publication is accepted.

use std::collections::BTreeMap;

use crate::{
    Finding, Fold, Item, MAX_DOCUMENT_BYTES, MAX_SECTIONS, Offset, Publication, Section, ServiceId,
    TeamId, Verdict,
    check::{self, Part},
    fold::{
        Entry, WINDOW_RECORDS,
        owner::{Owner, owner},
    },
    publication::Change,
    report::Report,
    section::{Id, Kind},
    verdict::Conflict,
};

/// Maximum number of recently removed sections in the state of the fold.
const MAX_REMOVED: usize = 2_000;

/// The changed sections of a publication; `None` stands for a removed section.
pub(crate) type Changes = BTreeMap<Id, Option<(Section, Item)>>;

/// Returns the changes of a valid publication, or the verdict that rejects it.
pub(crate) fn validate(
    fold: &Fold,
    offset: Offset,
    publication: &Publication,
) -> Result<Changes, Verdict> {
    let mut validator =
        Validator { fold, publication, changes: Changes::new(), report: Report::default() };
    validator.check_base(offset);
    validator.check_author();
    // The checks below cost time proportional to the document, so unknown authors are rejected first.
    let mut conflicts = Vec::new();
    if validator.report.is_empty() {
        validator.read_changes();
        conflicts = validator.conflicts();
    }
    if validator.report.is_empty() && conflicts.is_empty() {
        validator.check_sections_exist();
        validator.check_permissions();
        validator.check_document();
    }
    let res = validator.report.finish();
    if res.is_ok() && conflicts.is_empty() {
        return Ok(validator.changes);
    }
    Err(Verdict::Rejected { findings: res.err().unwrap_or_default(), conflicts })
}

struct Validator<'a> {
    fold: &'a Fold,
    publication: &'a Publication,
    changes: Changes,
    report: Report,
}

impl Validator<'_> {
    fn check_base(&mut self, offset: Offset) {
        let base = self.publication.base;
        if base > offset {
            self.report
                .push_document(format!("base {base} lies after the record's offset {offset}"));
        }
        if base.saturating_add(WINDOW_RECORDS) < offset {
            let message =
                format!("base {base} is more than {WINDOW_RECORDS} records old; read again");
            self.report.push_document(message);
        }
    }

    fn read_changes(&mut self) {
        for change in &self.publication.changes {
            match read_change(change) {
                Ok((id, after)) => self.push(id, after),
                Err(findings) => self.report.extend(findings),
            }
        }
    }

    fn push(&mut self, id: Id, after: Option<(Section, Item)>) {
        if self.changes.contains_key(&id) {
            self.push_finding(&id, "the publication changes the section twice".to_owned());
        }
        self.changes.insert(id, after);
    }

    fn conflicts(&self) -> Vec<Conflict> {
        let conflicts = self.changes.keys().filter_map(|id| {
            let kept = self.fold.sections.get(id).map(|it| &it.revision);
            let revision = kept.or_else(|| self.fold.removed.get(id))?;
            let (offset, author) = (revision.offset, revision.author.clone());
            let is_conflict = offset >= self.publication.base;
            is_conflict.then(|| Conflict { section: id.clone(), offset, author })
        });
        conflicts.collect()
    }

    fn check_sections_exist(&mut self) {
        let removed = self.changes.iter().filter(|(_, after)| after.is_none());
        let missing = removed.filter(|(id, _)| !self.fold.sections.contains_key(*id));
        let missing: Vec<Id> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            self.push_finding(&id, "there is no such section to remove".to_owned());
        }
    }

    fn check_author(&mut self) {
        if self.publication.changes.is_empty() {
            self.report.push_document("the publication changes nothing".to_owned());
        }
        let team = Id::new(Kind::Team, &self.publication.author);
        if self.fold.version.is_some() && !self.fold.sections.contains_key(&team) {
            self.report.push_document(format!("the author [{team}] is no team"));
        }
    }

    fn check_permissions(&mut self) {
        let author = &self.publication.author;
        let team = Id::new(Kind::Team, author);
        if self.fold.version.is_none() {
            let is_admin = matches!(
                self.changes.get(&team),
                Some(Some((_, Item::Team(it)))) if it.admin
            );
            if !is_admin {
                let message = format!("the first publication must make [{team}] with admin = yes");
                self.report.push_document(message);
            }
        } else if !self.fold.is_admin(author) {
            self.check_owners();
        }
    }

    fn check_owners(&mut self) {
        let mut findings = Vec::new();
        for (id, after) in &self.changes {
            let before = self.fold.sections.get(id).map(|it| &it.item);
            let after = after.as_ref().map(|(_, item)| item);
            let owners = [
                before.map(|it| owner(it, |id| self.owner_before(id))),
                after
                    .filter(|_| !is_ownership_transfer(before, after))
                    .map(|it| owner(it, |id| self.owner_after(id))),
            ];
            let denied = owners.into_iter().flatten().find_map(|it| self.denial(&it));
            findings.extend(denied.map(|it| (id.clone(), it)));
        }
        for (id, message) in findings {
            self.push_finding(&id, message);
        }
    }

    /// The reason why the author may not change a section of `owner`, or `None` if it may.
    fn denial(&self, owner: &Owner) -> Option<String> {
        let author = &self.publication.author;
        match owner {
            Owner::Team(it) if it == author => None,
            Owner::Team(it) => Some(format!("belongs to team {it}, not to {author}")),
            Owner::Admins => Some(format!("only for teams with admin = yes, which {author} lacks")),
            Owner::Unknown => None,
        }
    }

    fn owner_before(&self, service: &ServiceId) -> Option<TeamId> {
        let entry = self.fold.sections.get(&Id::new(Kind::Service, service))?;
        service_owner(&entry.item)
    }

    fn owner_after(&self, service: &ServiceId) -> Option<TeamId> {
        match self.changes.get(&Id::new(Kind::Service, service)) {
            Some(after) => after.as_ref().and_then(|(_, item)| service_owner(item)),
            None => self.owner_before(service),
        }
    }

    /// Validates the whole document with the changes of the publication applied.
    fn check_document(&mut self) {
        let (fold, changes) = (self.fold, &self.changes);
        let parts = || {
            let kept = fold.sections.iter().filter(|(id, _)| !changes.contains_key(*id));
            let kept = kept.map(|(_, Entry { section, item, .. })| (section, Some(item)));
            // Changed sections come last, so that findings are reported in them.
            let set = changes.values().flatten();
            kept.chain(set.map(|(section, item)| -> Part<'_> { (section, Some(item)) }))
        };
        check::check(parts, &mut self.report);
        let removed = changes.values().filter(|it| it.is_none()).count();
        if fold.removed.len() + removed > MAX_REMOVED {
            let message = format!(
                "more than {MAX_REMOVED} sections removed within {WINDOW_RECORDS} records; wait a while"
            );
            self.report.push_document(message);
        }
        let sections = parts().count();
        if sections > MAX_SECTIONS {
            self.report.push_document(format!("{sections} sections; at most {MAX_SECTIONS}"));
        }
        // Each section is followed by its newline and a blank line.
        let bytes: usize = parts().map(|(section, _)| section.text.len() + 2).sum();
        if bytes > MAX_DOCUMENT_BYTES {
            self.report.push_document(format!("{bytes} bytes long; at most {MAX_DOCUMENT_BYTES}"));
        }
    }

    fn push_finding(&mut self, id: &Id, message: String) {
        self.report.push(Finding { line: 1, section: id.to_string(), message });
    }
}

fn read_change(change: &Change) -> crate::Result<(Id, Option<(Section, Item)>)> {
    match change {
        Change::Remove { section } => Ok((section.clone(), None)),
        Change::Set { text } => {
            let section = Section::parse(text)?;
            let item = Item::parse(&section)?;
            Ok((section.id.clone(), Some((section, item))))
        }
    }
}

/// Whether the change is one of an existing service, whose owner may transfer it to another team.
fn is_ownership_transfer(before: Option<&Item>, after: Option<&Item>) -> bool {
    matches!((before, after), (Some(Item::Service(_)), Some(Item::Service(_))))
}

fn service_owner(item: &Item) -> Option<TeamId> {
    match item {
        Item::Service(it) => Some(it.owner.clone()),
        _ => None,
    }
}

//! Publishes changes at most once and waits until they are in force.

use std::{
    fmt,
    time::{Duration, Instant},
};

use document::{
    Fold, Offset, Publication, PublicationId, Replica, Verdict, Version, publication::Change,
    section::Id,
};
use platform::Backoff;
use serde::Serialize;

use crate::{
    Arguments, Attempt, Code, Context, Error, Outcome, Result, reader,
    rollout::{self, Rollout},
};

/// Time limit for appending a publication, including retries.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Shortest and longest backoff after the log gave no answer.
const BACKOFF_BASE: Duration = Duration::from_millis(50);
const BACKOFF_LIMIT: Duration = Duration::from_secs(1);
/// Default of `--wait`, in seconds.
const DEFAULT_WAIT_S: u64 = 17;

/// Options for publishing changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Reason for the change.
    pub note: String,
    /// Maximum time to wait until the change is in force on every live host.
    pub wait: Duration,
    /// Whether the change is only validated, not published.
    pub dry_run: bool,
}

impl Options {
    /// Names of the options that take a value.
    pub const NAMES: [&'static str; 2] = ["note", "wait"];

    /// Reads the options.
    ///
    /// # Errors
    ///
    /// Fails if a value is invalid.
    pub fn read(arguments: &Arguments) -> Result<Self> {
        Ok(Self {
            note: arguments.option("note").unwrap_or_default().to_owned(),
            wait: Duration::from_secs(arguments.number("wait")?.unwrap_or(DEFAULT_WAIT_S)),
            dry_run: arguments.flag("dry-run"),
        })
    }
}

/// The result of publishing a change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Id of the publication, or `None` if nothing was published.
    pub id: Option<PublicationId>,
    /// Version produced by the change.
    pub version: Option<Version>,
    /// Changed sections.
    pub sections: Vec<Id>,
    /// On which hosts the version is in force, or `None` without waiting.
    #[serde(rename = "force")]
    pub rollout: Option<Rollout>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.sections.is_empty() {
            return writeln!(f, "nothing changes");
        }
        for it in &self.sections {
            writeln!(f, "[{it}]")?;
        }
        match (&self.version, &self.id) {
            (Some(version), Some(id)) => writeln!(f, "published as version {version}, id {id}")?,
            _ => writeln!(f, "would be accepted; nothing was published")?,
        }
        self.rollout.as_ref().map_or(Ok(()), |it| it.fmt(f))
    }
}

/// Publishes changes that are based on the document at offset `base`.
///
/// # Errors
///
/// Fails if the changes are rejected, if the log doesn't store them, and if it is unknown whether it
/// did.
pub fn publish(
    cx: &Context<'_>,
    replica: Replica,
    base: Offset,
    changes: Vec<Change>,
    options: &Options,
) -> Result<Outcome> {
    let sections = changes.iter().filter_map(Change::section).collect();
    let mut report = Report { id: None, version: None, sections, rollout: None };
    if changes.is_empty() {
        return Ok(Outcome::new(&report, Code::Done));
    }
    let publication = Publication {
        id: new_id(cx.seed),
        author: cx.team()?.into(),
        base,
        made_at_s: cx.wall_s(),
        note: options.note.clone(),
        changes,
    };
    validate(replica.fold(), &publication)?;
    if options.dry_run {
        return Ok(Outcome::new(&report, Code::Done));
    }
    report.id = Some(publication.id.clone());
    let version = submit(cx, replica, publication)?;
    report.version = Some(version);
    if options.wait.is_zero() {
        return Ok(Outcome::new(&report, Code::Done));
    }
    let rollout = rollout::wait(cx, version, options.wait)?;
    let code = if rollout.lagging.is_empty() { Code::Done } else { Code::Lagging };
    report.rollout = Some(rollout);
    Ok(Outcome::new(&report, code))
}

/// Evaluates a publication as the log's readers will if no other record precedes it.
fn validate(fold: &Fold, publication: &Publication) -> Result<Version> {
    let mut fold = fold.clone();
    accepted_version(fold.apply(fold.end(), &publication.encode()))
}

/// Appends a publication, with retries, until its verdict is known.
fn submit(cx: &Context<'_>, mut replica: Replica, publication: Publication) -> Result<Version> {
    let mut attempt = Attempt::new(publication);
    let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_LIMIT, fastrand::Rng::with_seed(cx.seed));
    let deadline = cx.clock.now() + SUBMIT_TIMEOUT;
    loop {
        let answer = cx.log.append(document::publication::STREAM, attempt.record());
        attempt.on_append(&answer);
        let read = read_back(cx, &mut replica, &mut attempt);
        if let Some(it) = attempt.resolution() {
            return accepted_version(it.verdict.clone());
        }
        let reason = answer.err().or(read.err()).map(|it| it.to_string());
        let reason = reason.unwrap_or_else(|| "the record isn't in the log".to_owned());
        if is_expired(cx, deadline) {
            return Err(timeout_error(&attempt, reason));
        }
        (cx.sleep)(backoff.failed());
    }
}

/// Reads the log to its end, or until the verdict on the attempt is known.
fn read_back(
    cx: &Context<'_>,
    replica: &mut Replica,
    attempt: &mut Attempt,
) -> platform::Result<()> {
    while attempt.resolution().is_none() {
        let progress = reader::read_page(replica, cx.log)?;
        attempt.on_read(replica.fold(), &progress);
        if progress.should_wait {
            break;
        }
    }
    Ok(())
}

fn is_expired(cx: &Context<'_>, deadline: Instant) -> bool {
    cx.clock.now() >= deadline
}

fn timeout_error(attempt: &Attempt, reason: String) -> Error {
    if !attempt.may_be_stored() {
        return Error::Unpublished(reason);
    }
    Error::Unknown { id: attempt.publication().id.clone(), reason }
}

fn accepted_version(verdict: Verdict) -> Result<Version> {
    match verdict {
        Verdict::Accepted { version } => Ok(version),
        Verdict::Rejected { conflicts, .. } if !conflicts.is_empty() => {
            Err(Error::Conflicts(conflicts))
        }
        Verdict::Rejected { findings, .. } => Err(Error::Findings(findings)),
        Verdict::Repeated { first } => {
            Err(Error::UnusableLog(format!("the id was already used at offset {first}")))
        }
        Verdict::Skipped { warning } => Err(Error::UnusableLog(warning)),
        Verdict::Halted { rules } => {
            Err(Error::UnusableLog(format!("it needs fold rules {rules}")))
        }
    }
}

fn new_id(seed: u64) -> PublicationId {
    let mut rng = fastrand::Rng::with_seed(seed);
    format!("{:032x}", rng.u128(..)).into()
}

//! What truly happened in a cell, and what of it breaks a promise.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use document::{Fold, Offset, Publication, Version, section::Id};

use super::{
    message::{Job, Payload, Reply},
    promise::{Promise, Verdict},
};

/// Time after which a leaving host gets nothing new.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// Time within which an accepted version is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(17);
/// Probes a second that all entry hosts together may send.
pub(super) const PROBES_PER_S: f64 = 10.0;
/// Probes that each entry host may send at once.
const PROBE_BURST: u32 = 1;

/// What truly happened in a cell.
pub(super) struct Ledger {
    pub(super) verdict: Verdict,
    started: Instant,
    hosts: u32,
    probes: u32,
    runs: BTreeMap<Job, u32>,
    orders: BTreeSet<Job>,
    not_run: BTreeSet<Job>,
    leaving_backends: BTreeMap<usize, Instant>,
    leaving_hosts: BTreeMap<usize, Instant>,
    /// The document, folded at the moment of each append.
    truth: Fold,
    accepted: BTreeMap<Version, Instant>,
    /// What each host's current life has in force.
    in_force: BTreeMap<usize, Version>,
    /// Version that was in force on every live host at once.
    settled: Option<Version>,
}

impl Ledger {
    pub(super) fn new(now: Instant, hosts: u32) -> Self {
        Self {
            verdict: Verdict::default(),
            started: now,
            hosts,
            probes: 0,
            runs: BTreeMap::new(),
            orders: BTreeSet::new(),
            not_run: BTreeSet::new(),
            leaving_backends: BTreeMap::new(),
            leaving_hosts: BTreeMap::new(),
            truth: Fold::default(),
            accepted: BTreeMap::new(),
            in_force: BTreeMap::new(),
            settled: None,
        }
    }

    /// An entry host sent a load probe.
    pub(super) fn probed(&mut self, now: Instant) {
        self.probes += 1;
        self.verdict.exercise(Promise::ProbeBudget);
        let seconds = now.saturating_duration_since(self.started).as_secs_f64();
        let allowed = PROBES_PER_S * seconds + f64::from(self.hosts * PROBE_BURST);
        if f64::from(self.probes) > allowed {
            let probes = self.probes;
            let what = format!("{probes} probes in {seconds:.2} s, allowed {allowed:.1}");
            self.verdict.violate(Promise::ProbeBudget, what);
        }
    }

    /// A backend server's handler began to work.
    pub(super) fn ran(&mut self, job: Job, is_order: bool) {
        let runs = self.runs.entry(job).or_default();
        *runs += 1;
        if !is_order {
            return;
        }
        self.orders.insert(job);
        self.verdict.exercise(Promise::AtMostOnce);
        if *runs > 1 {
            self.verdict.violate(Promise::AtMostOnce, format!("order {job} ran {runs} times"));
        }
    }

    /// A caller was told the outcome of its request.
    pub(super) fn told(&mut self, job: Job, reply: Reply) {
        match reply {
            Reply::Done(Payload { job: answered, is_whole, .. }) => {
                self.verdict.exercise(Promise::WholeOwnAnswer);
                if answered != job || !is_whole {
                    let whole = if is_whole { "" } else { ", cut" };
                    let what = format!("request {job} got the answer to {answered}{whole}");
                    self.verdict.violate(Promise::WholeOwnAnswer, what);
                }
            }
            Reply::NotRun => {
                self.not_run.insert(job);
            }
            Reply::Unknown => {}
        }
    }

    pub(super) fn backend_leaves(&mut self, backend: usize, now: Instant) {
        self.leaving_backends.entry(backend).or_insert(now);
    }

    pub(super) fn host_leaves(&mut self, host: usize, now: Instant) {
        self.leaving_hosts.insert(host, now);
    }

    pub(super) fn host_starts(&mut self, host: usize) {
        self.leaving_hosts.remove(&host);
        self.in_force.remove(&host);
    }

    /// A request came to a backend server, whether it takes it or not.
    pub(super) fn backend_got_work(&mut self, backend: usize, now: Instant) {
        let since = self.leaving_backends.get(&backend).copied();
        self.check_leaving("backend server", backend, since, now);
    }

    /// An entry host took in a request as its own.
    pub(super) fn host_took_work(&mut self, host: usize, now: Instant) {
        let since = self.leaving_hosts.get(&host).copied();
        self.check_leaving("entry host", host, since, now);
    }

    /// An entry host stopped as planned with `cut` requests in progress.
    pub(super) fn host_stopped(&mut self, host: usize, served: usize, cut: usize) {
        self.in_force.remove(&host);
        if served + cut > 0 {
            self.verdict.exercise(Promise::StopCutsNothing);
        }
        if cut > 0 {
            let what = format!("entry host {host} stopped with {cut} requests in progress");
            self.verdict.violate(Promise::StopCutsNothing, what);
        }
    }

    pub(super) fn host_died(&mut self, host: usize) {
        self.in_force.remove(&host);
    }

    /// A record was appended to the stream of publications; `read_to` is how far its author had
    /// truly read.
    pub(super) fn published(&mut self, record: &[u8], read_to: Offset, now: Instant) {
        let sections = Publication::decode(record).map(|it| changed(&it)).unwrap_or_default();
        let before: Vec<_> =
            sections.iter().map(|it| (it.clone(), self.truth.changed_at(it))).collect();
        let offset = self.truth.end();
        let verdict = self.truth.apply(offset, record);
        if !matches!(verdict, document::Verdict::Accepted { .. }) {
            return;
        }
        self.accepted.insert(offset, now);
        for (section, changed) in before {
            if let Some(changed) = changed.filter(|it| *it >= read_to) {
                let what =
                    format!("[{section}] of version {changed} was undone unread by {offset}");
                self.verdict.violate(Promise::VersionStays, what);
            }
        }
    }

    /// Where an author stands that has just read the log.
    pub(super) fn truth(&self) -> &Fold {
        &self.truth
    }

    /// A host put a version in force.
    pub(super) fn in_force(&mut self, host: usize, version: Version, live: &[usize], now: Instant) {
        let old = self.in_force.insert(host, version);
        let least = old.max(if old.is_none() { self.settled } else { None });
        if least.is_some_and(|it| version < it) {
            let what = format!("entry host {host} went from {least:?} back to {version}");
            self.verdict.violate(Promise::VersionStays, what);
        }
        if let Some(accepted) = self.accepted.get(&version) {
            self.verdict.exercise(Promise::VersionStays);
            let took = now.saturating_duration_since(*accepted);
            if old.is_some() && took > IN_FORCE_LIMIT {
                let what = format!("version {version} in force on {host} after {took:?}");
                self.verdict.violate(Promise::VersionStays, what);
            }
        }
        let everywhere = live.iter().map(|it| self.in_force.get(it).copied()).min().flatten();
        self.settled = self.settled.max(everywhere);
    }

    /// Checks what can only be known at the end.
    pub(super) fn close(&mut self, live: &[usize]) -> Verdict {
        for job in &self.not_run {
            self.verdict.exercise(Promise::NotRunIsTrue);
            if let Some(runs) = self.runs.get(job) {
                let what = format!("request {job} ran {runs} times and was told not to have run");
                self.verdict.violate(Promise::NotRunIsTrue, what);
            }
        }
        let newest = self.truth.version();
        for host in live {
            let version = self.in_force.get(host).copied();
            if version != newest {
                let what = format!("entry host {host} ends with {version:?}, not {newest:?}");
                self.verdict.violate(Promise::VersionStays, what);
            }
        }
        std::mem::take(&mut self.verdict)
    }

    fn check_leaving(&mut self, what: &str, number: usize, since: Option<Instant>, now: Instant) {
        let Some(since) = since else { return };
        let left = now.saturating_duration_since(since);
        if left > LEAVING_GRACE {
            let what = format!("{what} {number} got new work {left:?} after it began to leave");
            self.verdict.violate(Promise::LeavingGetsNothing, what);
        }
    }

    /// A request went somewhere while a host had been leaving for longer than the grace.
    pub(super) fn note_traffic(&mut self, now: Instant) {
        let is_over = |it: &Instant| now.saturating_duration_since(*it) > LEAVING_GRACE;
        let mut all = self.leaving_backends.values().chain(self.leaving_hosts.values());
        if all.any(is_over) {
            self.verdict.exercise(Promise::LeavingGetsNothing);
        }
    }
}

fn changed(publication: &Publication) -> Vec<Id> {
    publication
        .changes
        .iter()
        .filter_map(|it| match it {
            document::publication::Change::Remove { section } => Some(section.clone()),
            document::publication::Change::Set { text } => {
                document::Section::parse(text).ok().map(|it| it.id)
            }
        })
        .collect()
}

//! Records what happens in a cell and checks it against the promises.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use document::{Fold, Offset, Publication, Version, section::Id};

use super::{
    message::{Job, Payload, Reply},
    promise::{Promise, Verdict},
};

/// Time after which a leaving host or backend server must get no new requests.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// Time within which an accepted version must be in force on all hosts.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(17);
/// Probe budget of all entry hosts together.
pub(super) const PROBES_PER_S: f64 = 10.0;
/// Number of probes that each entry host may send in a burst.
const PROBE_BURST: u32 = 1;

/// The record of what happens in a cell.
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
    /// The fold of all publications, updated at each append.
    reference: Fold,
    accepted: BTreeMap<Version, Instant>,
    /// The version in force on each running host.
    in_force: BTreeMap<usize, Version>,
    /// Newest version that has been in force on all running hosts at the same time.
    common_version: Option<Version>,
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
            reference: Fold::default(),
            accepted: BTreeMap::new(),
            in_force: BTreeMap::new(),
            common_version: None,
        }
    }

    /// Records that an entry host sent a load probe.
    pub(super) fn record_probe(&mut self, now: Instant) {
        self.probes += 1;
        self.verdict.exercise(Promise::ProbeBudget);
        let seconds = now.saturating_duration_since(self.started).as_secs_f64();
        let allowed = PROBES_PER_S * seconds + f64::from(self.hosts * PROBE_BURST);
        if f64::from(self.probes) > allowed {
            let probes = self.probes;
            let description = format!("{probes} probes in {seconds:.2} s, allowed {allowed:.1}");
            self.verdict.add_violation(Promise::ProbeBudget, description);
        }
    }

    /// Records that a backend server's handler started.
    pub(super) fn record_run(&mut self, job: Job, is_order: bool) {
        let runs = self.runs.entry(job).or_default();
        *runs += 1;
        if !is_order {
            return;
        }
        self.orders.insert(job);
        self.verdict.exercise(Promise::AtMostOnce);
        if *runs > 1 {
            self.verdict
                .add_violation(Promise::AtMostOnce, format!("order {job} ran {runs} times"));
        }
    }

    /// Records a reply that a caller received.
    pub(super) fn record_reply(&mut self, job: Job, reply: Reply) {
        match reply {
            Reply::Done(Payload { job: answered, is_whole, .. }) => {
                self.verdict.exercise(Promise::WholeOwnAnswer);
                if answered != job || !is_whole {
                    let whole = if is_whole { "" } else { ", cut" };
                    let description = format!("request {job} got the answer to {answered}{whole}");
                    self.verdict.add_violation(Promise::WholeOwnAnswer, description);
                }
            }
            Reply::NotRun => {
                self.not_run.insert(job);
            }
            Reply::Unknown => {}
        }
    }

    pub(super) fn record_backend_leaving(&mut self, backend: usize, now: Instant) {
        self.leaving_backends.entry(backend).or_insert(now);
    }

    pub(super) fn record_host_leaving(&mut self, host: usize, now: Instant) {
        self.leaving_hosts.insert(host, now);
    }

    pub(super) fn record_host_start(&mut self, host: usize) {
        self.leaving_hosts.remove(&host);
        self.in_force.remove(&host);
    }

    /// Records that a request reached a backend server, which may accept or shed it.
    pub(super) fn record_backend_request(&mut self, backend: usize, now: Instant) {
        let since = self.leaving_backends.get(&backend).copied();
        self.check_leaving("backend server", backend, since, now);
    }

    /// Records that an entry host accepted a request.
    pub(super) fn record_host_request(&mut self, host: usize, now: Instant) {
        let since = self.leaving_hosts.get(&host).copied();
        self.check_leaving("entry host", host, since, now);
    }

    /// Records that an entry host stopped as planned with `cut` requests in progress.
    pub(super) fn record_host_stop(&mut self, host: usize, served: usize, cut: usize) {
        self.in_force.remove(&host);
        if served + cut > 0 {
            self.verdict.exercise(Promise::StopCutsNothing);
        }
        if cut > 0 {
            let description = format!("entry host {host} stopped with {cut} requests in progress");
            self.verdict.add_violation(Promise::StopCutsNothing, description);
        }
    }

    pub(super) fn record_host_crash(&mut self, host: usize) {
        self.in_force.remove(&host);
    }

    /// Records an append to the stream of publications. `read_to` is the offset up to which its
    /// author had actually read.
    pub(super) fn record_publication(&mut self, record: &[u8], read_to: Offset, now: Instant) {
        let sections = Publication::decode(record).map(|it| changed(&it)).unwrap_or_default();
        let before: Vec<_> =
            sections.iter().map(|it| (it.clone(), self.reference.changed_at(it))).collect();
        let offset = self.reference.end();
        let verdict = self.reference.apply(offset, record);
        if !matches!(verdict, document::Verdict::Accepted { .. }) {
            return;
        }
        self.accepted.insert(offset, now);
        for (section, changed) in before {
            if let Some(changed) = changed.filter(|it| *it >= read_to) {
                let description = format!(
                    "version {offset} overwrote [{section}] of version {changed}, which its author \
                     had not read"
                );
                self.verdict.add_violation(Promise::VersionStays, description);
            }
        }
    }

    /// The fold of all publications so far.
    pub(super) fn reference(&self) -> &Fold {
        &self.reference
    }

    /// Records that a host put a version in force.
    pub(super) fn record_version(
        &mut self,
        host: usize,
        version: Version,
        live: &[usize],
        now: Instant,
    ) {
        let old = self.in_force.insert(host, version);
        let minimum = old.max(if old.is_none() { self.common_version } else { None });
        if minimum.is_some_and(|it| version < it) {
            let description = format!("entry host {host} went from {minimum:?} back to {version}");
            self.verdict.add_violation(Promise::VersionStays, description);
        }
        if let Some(accepted) = self.accepted.get(&version) {
            self.verdict.exercise(Promise::VersionStays);
            let elapsed = now.saturating_duration_since(*accepted);
            if old.is_some() && elapsed > IN_FORCE_LIMIT {
                let description = format!("version {version} in force on {host} after {elapsed:?}");
                self.verdict.add_violation(Promise::VersionStays, description);
            }
        }
        let everywhere = live.iter().map(|it| self.in_force.get(it).copied()).min().flatten();
        self.common_version = self.common_version.max(everywhere);
    }

    /// Makes the checks that need the whole run, and returns the verdict.
    pub(super) fn finish(&mut self, live: &[usize]) -> Verdict {
        for job in &self.not_run {
            self.verdict.exercise(Promise::NotRunIsTrue);
            if let Some(runs) = self.runs.get(job) {
                let description =
                    format!("request {job} ran {runs} times but was answered `not-run`");
                self.verdict.add_violation(Promise::NotRunIsTrue, description);
            }
        }
        let newest = self.reference.version();
        for host in live {
            let version = self.in_force.get(host).copied();
            if version != newest {
                let description =
                    format!("entry host {host} ends with {version:?}, not {newest:?}");
                self.verdict.add_violation(Promise::VersionStays, description);
            }
        }
        std::mem::take(&mut self.verdict)
    }

    fn check_leaving(&mut self, kind: &str, number: usize, since: Option<Instant>, now: Instant) {
        let Some(since) = since else { return };
        let left = now.saturating_duration_since(since);
        if left > LEAVING_GRACE {
            let description =
                format!("{kind} {number} got new work {left:?} after it began to leave");
            self.verdict.add_violation(Promise::LeavingGetsNothing, description);
        }
    }

    /// Counts [`Promise::LeavingGetsNothing`] as exercised if an entry host or a backend server has
    /// been leaving for longer than [`LEAVING_GRACE`].
    pub(super) fn record_traffic(&mut self, now: Instant) {
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

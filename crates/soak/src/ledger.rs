//! Records what callers sent and received, and compares it with what the upstreams ran.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::{Mutex, PoisonError},
    time::Instant,
};

use platform_standin::Upstream;

use crate::{form::Form, probe::Need, retry_budget, stop_caller::UPLOAD_BYTES};

/// Maximum number of findings in a report. Further ones are usually repetitions.
const MAX_FINDINGS: usize = 500;

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests by HTTP status, 0 for a connection that broke.
    pub answers: BTreeMap<u16, u64>,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Number of successful requests by their unusual form. A request can have two forms.
    pub forms: BTreeMap<String, u64>,
    /// Number of requests that need the newest configuration, by what they need and the status.
    pub probes: BTreeMap<String, u64>,
    /// Broken promises.
    pub findings: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "seed={} findings={}", self.seed, self.findings.len())?;
        write!(out, " answers={:?} faults={:?}", self.answers, self.faults)?;
        write!(out, " forms={:?} probes={:?}", self.forms, self.probes)?;
        self.findings.iter().try_for_each(|it| write!(out, "\n  {it}"))
    }
}

/// A 3xx or 4xx to a proper request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Denial {
    pub(crate) forms: Vec<Form>,
    pub(crate) status: u16,
    pub(crate) daemon: usize,
    /// Whether the answer has the signature of an upstream.
    pub(crate) is_signed: bool,
}

/// Records of a run that are checked at its end.
#[derive(Default)]
pub(crate) struct Ledger {
    report: Mutex<Report>,
    not_run: Mutex<Vec<String>>,
    broken: Mutex<Vec<String>>,
    uploads: Mutex<Vec<String>>,
    denials: Mutex<Vec<(String, Denial)>>,
    sent: Mutex<Vec<Instant>>,
}

impl Ledger {
    pub(crate) fn new(seed: u64) -> Self {
        let report = Report { seed, ..Report::default() };
        Self { report: Mutex::new(report), ..Self::default() }
    }

    pub(crate) fn record_answer(&self, id: &str, status: u16) {
        self.with(|it| *it.answers.entry(status).or_default() += 1);
        if matches!(status, 408 | 421 | 429 | 503) {
            self.not_run.lock().unwrap_or_else(PoisonError::into_inner).push(id.to_owned());
        }
    }

    /// Records the time at which a caller sends a request.
    pub(crate) fn record_request(&self, at: Instant) {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner).push(at);
    }

    /// Records a request whose connection broke while no fault was active.
    pub(crate) fn record_broken(&self, id: &str) {
        self.broken.lock().unwrap_or_else(PoisonError::into_inner).push(id.to_owned());
    }

    /// Records an upload that was read late, sent to its end and answered with a success, which may have
    /// come before it was read.
    pub(crate) fn record_upload(&self, id: &str, is_early: bool) {
        let form = if is_early { "EarlyAnswer" } else { "LateRead" };
        self.with(|it| *it.forms.entry(form.to_owned()).or_default() += 1);
        if is_early {
            self.uploads.lock().unwrap_or_else(PoisonError::into_inner).push(id.to_owned());
        }
    }

    /// Records a success.
    pub(crate) fn record_served(&self, forms: &[Form]) {
        self.with(|it| {
            for form in forms {
                *it.forms.entry(format!("{form:?}")).or_default() += 1;
            }
        });
    }

    /// Records the answer to a request that needs the newest configuration.
    pub(crate) fn record_probe(&self, need: Need, status: u16) {
        self.with(|it| *it.probes.entry(format!("{need:?} {status}")).or_default() += 1);
    }

    pub(crate) fn record_denial(&self, id: &str, denial: Denial) {
        let mut denials = self.denials.lock().unwrap_or_else(PoisonError::into_inner);
        denials.push((id.to_owned(), denial));
    }

    pub(crate) fn record_fault(&self, kind: &'static str) {
        self.with(|it| *it.faults.entry(kind).or_default() += 1);
    }

    pub(crate) fn add_finding(&self, finding: String) {
        self.with(|it| {
            if it.findings.len() < MAX_FINDINGS {
                it.findings.push(finding);
            }
        });
    }

    /// Compares the recorded answers with what the upstreams ran, and returns the report.
    pub(crate) fn close(&self, upstreams: &[&Upstream]) -> Report {
        let runs: Vec<_> = upstreams.iter().flat_map(|it| it.ids()).collect();
        let arrived: Vec<_> = upstreams.iter().flat_map(|it| it.arrivals()).collect();
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(it) = retry_budget::check(&sent, &arrived) {
            self.add_finding(it);
        }
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for it in &runs {
            *counts.entry(it).or_default() += 1;
        }
        for (id, count) in &counts {
            if id.starts_with("POST") && *count > 1 {
                self.add_finding(format!("order {id} ran {count} times"));
            }
        }
        for id in self.not_run.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            if id.starts_with("POST") && counts.contains_key(id.as_str()) {
                self.add_finding(format!("order {id} was answered as not run and has run"));
            }
        }
        for id in self.broken.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            if counts.contains_key(id.as_str()) {
                self.add_finding(format!("{id} was passed on and cut off in a calm time"));
            }
        }
        let received: BTreeSet<_> = upstreams.iter().flat_map(|it| it.uploads()).collect();
        for id in self.uploads.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            if !received.contains(&(id.clone(), UPLOAD_BYTES)) {
                self.add_finding(format!("{id} got a success and its upstream not its whole body"));
            }
        }
        let denials = self.unsigned_denials(upstreams);
        self.with(|it| {
            // First, so that the limit on findings does not hide them.
            it.findings.splice(0..0, denials);
            it.clone()
        })
    }

    /// Findings on denials that no upstream has sent with its signature, one for each form, status and
    /// daemon.
    fn unsigned_denials(&self, upstreams: &[&Upstream]) -> Vec<String> {
        let signed: BTreeSet<_> = upstreams.iter().flat_map(|it| it.denials()).collect();
        let denials = self.denials.lock().unwrap_or_else(PoisonError::into_inner);
        let mut ids: BTreeMap<&Denial, Vec<&str>> = BTreeMap::new();
        for (id, it) in denials.iter() {
            if !it.is_signed || !signed.contains(&(id.clone(), it.status)) {
                ids.entry(it).or_default().push(id);
            }
        }
        let seed = self.with(|it| it.seed);
        let finding = |(Denial { forms, status, daemon, is_signed }, ids): (&Denial, Vec<&str>)| {
            let signature = if *is_signed { "a false" } else { "no" };
            format!(
                "{} proper requests of the form {forms:?} got {status} with {signature} signature from \
                 daemon {daemon}, seed {seed}; the first is {}",
                ids.len(),
                ids[0]
            )
        };
        ids.into_iter().map(finding).collect()
    }

    fn with<T>(&self, f: impl FnOnce(&mut Report) -> T) -> T {
        f(&mut self.report.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

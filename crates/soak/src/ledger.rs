//! What was sent, what was told, what has run.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{Mutex, PoisonError},
    time::Instant,
};

use platform_standin::Upstream;

use crate::arrivals;

/// Findings kept; more of the same say nothing new.
const MAX_FINDINGS: usize = 50;

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Requests by the status told; 0 if the connection broke.
    pub answers: BTreeMap<u16, u64>,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Broken promises.
    pub findings: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "seed={} findings={}", self.seed, self.findings.len())?;
        write!(out, " answers={:?} faults={:?}", self.answers, self.faults)?;
        self.findings.iter().try_for_each(|it| write!(out, "\n  {it}"))
    }
}

/// What callers were told, by request.
#[derive(Default)]
pub(crate) struct Ledger {
    report: Mutex<Report>,
    not_run: Mutex<Vec<String>>,
    cut: Mutex<Vec<String>>,
    sent: Mutex<Vec<Instant>>,
}

impl Ledger {
    pub(crate) fn new(seed: u64) -> Self {
        let report = Report { seed, ..Report::default() };
        Self { report: Mutex::new(report), ..Self::default() }
    }

    pub(crate) fn answered(&self, id: &str, status: u16) {
        self.with(|it| *it.answers.entry(status).or_default() += 1);
        if matches!(status, 408 | 421 | 429 | 503) {
            self.not_run.lock().unwrap_or_else(PoisonError::into_inner).push(id.to_owned());
        }
    }

    /// Notes that a caller sends a request.
    pub(crate) fn sent(&self, at: Instant) {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner).push(at);
    }

    /// Notes a request whose connection broke in a calm time.
    pub(crate) fn cut(&self, id: &str) {
        self.cut.lock().unwrap_or_else(PoisonError::into_inner).push(id.to_owned());
    }

    pub(crate) fn fault(&self, kind: &'static str) {
        self.with(|it| *it.faults.entry(kind).or_default() += 1);
    }

    pub(crate) fn find(&self, finding: String) {
        self.with(|it| {
            if it.findings.len() < MAX_FINDINGS {
                it.findings.push(finding);
            }
        });
    }

    /// Checks what was told against what has run, and gives the report.
    pub(crate) fn close(&self, upstreams: &[&Upstream]) -> Report {
        let runs: Vec<_> = upstreams.iter().flat_map(|it| it.ids()).collect();
        let arrived: Vec<_> = upstreams.iter().flat_map(|it| it.arrivals()).collect();
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(it) = arrivals::check(&sent, &arrived) {
            self.find(it);
        }
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for it in &runs {
            *counts.entry(it).or_default() += 1;
        }
        for (id, count) in &counts {
            if id.starts_with("POST") && *count > 1 {
                self.find(format!("order {id} ran {count} times"));
            }
        }
        for id in self.not_run.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            if id.starts_with("POST") && counts.contains_key(id.as_str()) {
                self.find(format!("order {id} was told as not run and has run"));
            }
        }
        for id in self.cut.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            if counts.contains_key(id.as_str()) {
                self.find(format!("{id} was passed on and cut off in a calm time"));
            }
        }
        self.with(|it| it.clone())
    }

    fn with<T>(&self, f: impl FnOnce(&mut Report) -> T) -> T {
        f(&mut self.report.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

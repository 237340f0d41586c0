//! Collects findings and reports them together.

use crate::{Finding, Result};

/// Maximum number of findings in a report; it bounds memory use on malicious input.
pub const MAX_FINDINGS: usize = 1_000;

/// Collects findings up to [`MAX_FINDINGS`].
#[derive(Debug, Default)]
pub(crate) struct Report {
    findings: Vec<Finding>,
    is_full: bool,
}

impl Report {
    pub(crate) fn push(&mut self, finding: Finding) {
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(finding);
        } else {
            self.is_full = true;
        }
    }

    /// Adds a finding that concerns the whole document.
    pub(crate) fn push_document(&mut self, message: String) {
        self.push(Finding { line: 0, section: String::new(), message });
    }

    pub(crate) fn extend(&mut self, findings: Vec<Finding>) {
        for finding in findings {
            self.push(finding);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns all findings, ordered by line, as an error if there are any.
    pub(crate) fn finish(mut self) -> Result<()> {
        if self.is_empty() {
            return Ok(());
        }
        self.findings.sort_by(|a, b| (a.line, &a.section).cmp(&(b.line, &b.section)));
        if self.is_full {
            let message = format!("more than {MAX_FINDINGS} findings; the rest isn't listed");
            self.findings.push(Finding { line: 0, section: String::new(), message });
        }
        Err(self.findings)
    }
}

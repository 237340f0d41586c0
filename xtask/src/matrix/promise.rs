//! The promises that are checked in every cell.

/// A property that must hold under all faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Promise {
    ProbeBudget,
    WholeOwnAnswer,
    NotRunIsTrue,
    AtMostOnce,
    LeavingGetsNothing,
    StopCutsNothing,
    VersionStays,
}

pub(super) const PROMISES: [(Promise, &str); 7] = [
    (Promise::ProbeBudget, "probe-budget"),
    (Promise::WholeOwnAnswer, "whole-own-answer"),
    (Promise::NotRunIsTrue, "not-run-is-true"),
    (Promise::AtMostOnce, "at-most-once"),
    (Promise::LeavingGetsNothing, "leaving-gets-nothing"),
    (Promise::StopCutsNothing, "stop-cuts-nothing"),
    (Promise::VersionStays, "version-stays"),
];

impl Promise {
    pub(super) fn index(self) -> usize {
        PROMISES.iter().position(|(it, _)| *it == self).unwrap_or_default()
    }
}

/// The result of a cell: how often each promise was exercised, and the violations.
#[derive(Clone, Debug, Default)]
pub(super) struct Verdict {
    pub(super) exercised: [u32; 7],
    pub(super) violations: Vec<Violation>,
    /// Whether the step at which the faults are injected was reached.
    pub(super) is_reached: bool,
}

/// A broken promise.
#[derive(Clone, Debug)]
pub(super) struct Violation {
    pub(super) promise: Promise,
    pub(super) description: String,
}

impl Verdict {
    pub(super) fn exercise(&mut self, promise: Promise) {
        self.exercised[promise.index()] += 1;
    }

    pub(super) fn add_violation(&mut self, promise: Promise, description: String) {
        self.violations.push(Violation { promise, description });
    }

    /// Whether the cell is meaningful: its faults were injected and at least one promise was
    /// exercised.
    pub(super) fn is_exercised(&self) -> bool {
        self.is_reached && self.exercised.iter().any(|it| *it > 0)
    }
}

//! Cells of the matrix: a step, one fault or two, and a seed.

use super::{
    fault::{FAULTS, Fault},
    step::{STEPS, Step},
};

/// A cell of the matrix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Cell {
    pub(super) step: Step,
    pub(super) first: Fault,
    /// A second fault at the same step. If it equals the first, the fault is injected twice.
    pub(super) second: Option<Fault>,
    pub(super) seed: u64,
}

impl Cell {
    pub(super) fn name(self) -> String {
        let second = match self.second {
            None => String::new(),
            Some(it) if it == self.first => " twice".to_owned(),
            Some(it) => format!(" and {}", it.name()),
        };
        format!("{}: {}{second}", self.step.name(), self.first.name())
    }
}

/// All cells with a single fault.
pub(super) fn singles(seed: u64) -> Vec<Cell> {
    let cell = |step, first| Cell { step, first, second: None, seed };
    STEPS.iter().flat_map(|(step, ..)| FAULTS.map(|(it, _)| cell(*step, it))).collect()
}

/// All cells with two faults, including the same fault twice.
pub(super) fn pairs(seed: u64) -> Vec<Cell> {
    let mut res = Vec::new();
    for (step, ..) in STEPS {
        for (place, (first, _)) in FAULTS.iter().enumerate() {
            for (second, _) in &FAULTS[place..] {
                res.push(Cell { step, first: *first, second: Some(*second), seed });
            }
        }
    }
    res
}

//! Cells of the matrix: a step, one fault or two, and a seed.

use super::{
    fault::{FAULTS, Fault},
    step::{STEPS, Step},
};

/// One cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Cell {
    pub(super) step: Step,
    pub(super) first: Fault,
    /// A second fault at the same step; the same one again means twice.
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

/// Every fault alone at every step.
pub(super) fn singles(seed: u64) -> Vec<Cell> {
    let cell = |step, first| Cell { step, first, second: None, seed };
    STEPS.iter().flat_map(|(step, ..)| FAULTS.map(|(it, _)| cell(*step, it))).collect()
}

/// Every pair of faults at every step, the same fault twice included.
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

//! The instances that are explored.

use super::{
    options::Options,
    rules::{Keying, Rules},
};

/// Instances small enough to visit every state.
pub(crate) fn exhaustive(options: &Options) -> Vec<Rules> {
    let base = Rules { guard: options.guard, faults: options.faults, ..Rules::default() };
    let copies = if options.small { 2 } else { 3 };
    let repeats = Rules { copies, ..base.clone() };
    let misuse = Rules { copies: 2, misuse: true, ..base };
    vec![
        Rules { name: "journaled", ..repeats.clone() },
        Rules { name: "unjournaled", keying: Keying::Unjournaled, ..repeats.clone() },
        Rules { name: "own-key", keying: Keying::Own, ..repeats },
        Rules { name: "journaled-misuse", ..misuse.clone() },
        Rules { name: "unjournaled-misuse", keying: Keying::Unjournaled, ..misuse.clone() },
        Rules { name: "own-key-misuse", keying: Keying::Own, ..misuse },
    ]
}

/// Larger instances for random steps.
pub(crate) fn random(options: &Options) -> Vec<Rules> {
    let base = Rules {
        guard: options.guard,
        hosts: 3,
        orders: 4,
        copies: 4,
        misuse: true,
        faults: 8,
        last_send: 6,
        patience: 4,
        ..Rules::default()
    };
    vec![
        Rules { name: "journaled", ..base.clone() },
        Rules { name: "unjournaled", keying: Keying::Unjournaled, ..base.clone() },
        Rules { name: "own-key", keying: Keying::Own, ..base },
    ]
}

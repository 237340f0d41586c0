//! The instances that are explored.

use order::Settings;

use super::{
    options::Options,
    rules::{Keying, Rules, STEP},
};

/// Instances small enough to visit every state: many copies with few faults, and the reverse.
pub(crate) fn exhaustive(options: &Options) -> Vec<Rules> {
    let base = Rules { guard: options.guard, faults: options.faults, ..Rules::default() };
    if options.small {
        return family(&Rules { copies: 2, last_send: 0, patience: 1, ..base });
    }
    let fewer = options.faults.saturating_sub(1);
    let mut res = family(&Rules { copies: 2, ..base.clone() });
    res.extend(family(&Rules { copies: 3, faults: fewer, ..base }));
    res
}

/// Each way to key orders, with repeats and with misuse of the key, and a log that drops records.
fn family(base: &Rules) -> Vec<Rules> {
    let misuse = Rules { misuse: true, ..base.clone() };
    let trimmed = Rules { copies: base.copies - 1, trims: true, ..base.clone() };
    vec![
        Rules { name: "journaled", ..base.clone() },
        Rules { name: "own-key", keying: Keying::Own, ..base.clone() },
        Rules { name: "journaled-trimmed", ..trimmed },
        Rules { name: "journaled-misuse", ..misuse.clone() },
        Rules { name: "own-key-misuse", keying: Keying::Own, ..misuse.clone() },
        Rules { name: "unjournaled", keying: Keying::Unjournaled, ..base.clone() },
        Rules { name: "unjournaled-misuse", keying: Keying::Unjournaled, ..misuse },
    ]
}

/// Larger instances for random steps.
pub(crate) fn random(options: &Options) -> Vec<Rules> {
    let defaults = Rules::default();
    let base = Rules {
        guard: options.guard,
        hosts: 3,
        orders: 4,
        copies: 4,
        misuse: true,
        faults: 8,
        last_send: 6,
        patience: 4,
        trims: true,
        settings: Settings { suspect_after: STEP, ..defaults.settings.clone() },
        ..defaults
    };
    vec![
        Rules { name: "journaled", ..base.clone() },
        Rules { name: "unjournaled", keying: Keying::Unjournaled, ..base.clone() },
        Rules { name: "own-key", keying: Keying::Own, ..base },
    ]
}

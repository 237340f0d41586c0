//! The scenarios of the command.

use order::Settings;

use super::{
    options::Options,
    scenario::{Keying, STEP, Scenario},
};

/// Scenarios small enough to visit every state: one set with more copies and fewer faults, and one
/// with the reverse.
pub(crate) fn exhaustive(options: &Options) -> Vec<Scenario> {
    let base = Scenario {
        disabled_guard: options.disabled_guard,
        faults: options.faults,
        ..Scenario::default()
    };
    if options.small {
        return family(&Scenario { copies: 2, last_send: 0, deadline_steps: 1, ..base });
    }
    let fewer = options.faults.saturating_sub(1);
    let mut res = family(&Scenario { copies: 2, ..base.clone() });
    res.extend(family(&Scenario { copies: 3, faults: fewer, ..base }));
    res
}

/// Variants of `base` with each kind of key, with repeated orders, with reuse of a key for another
/// order, and with a log that drops records.
fn family(base: &Scenario) -> Vec<Scenario> {
    let misused = Scenario { misuses_key: true, ..base.clone() };
    let trimmed = Scenario { copies: base.copies - 1, trims_log: true, ..base.clone() };
    vec![
        Scenario { name: "journaled", ..base.clone() },
        Scenario { name: "own-key", keying: Keying::Own, ..base.clone() },
        Scenario { name: "journaled-trimmed", ..trimmed },
        Scenario { name: "journaled-misuse", ..misused.clone() },
        Scenario { name: "own-key-misuse", keying: Keying::Own, ..misused.clone() },
        Scenario { name: "unjournaled", keying: Keying::Unjournaled, ..base.clone() },
        Scenario { name: "unjournaled-misuse", keying: Keying::Unjournaled, ..misused },
    ]
}

/// Larger scenarios for random walks.
pub(crate) fn random(options: &Options) -> Vec<Scenario> {
    let defaults = Scenario::default();
    let base = Scenario {
        disabled_guard: options.disabled_guard,
        hosts: 3,
        orders: 4,
        copies: 4,
        misuses_key: true,
        faults: 8,
        last_send: 6,
        deadline_steps: 4,
        trims_log: true,
        settings: Settings { suspect_after: STEP, ..defaults.settings.clone() },
        ..defaults
    };
    vec![
        Scenario { name: "journaled", ..base.clone() },
        Scenario { name: "unjournaled", keying: Keying::Unjournaled, ..base.clone() },
        Scenario { name: "own-key", keying: Keying::Own, ..base },
    ]
}
